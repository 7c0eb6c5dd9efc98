/** Types of the randomized soak, which checks serving processes under faults from the outside. */
import type { ManagedProcess } from '../launch/ManagedProcess.js';
import type { TcpRelay } from '../launch/TcpRelay.js';

/** Kinds of requests that the soak sends, with the properties of their routes. */
export const REQUEST_KINDS = {
  read: { isStream: false, isRetryable: true },
  claim: { isStream: false, isRetryable: false },
  once: { isStream: true, isRetryable: false },
  again: { isStream: true, isRetryable: true },
  staged: { isStream: true, isRetryable: true },
} as const;
export type RequestKind = keyof typeof REQUEST_KINDS;

/** End of a request as observed by its caller. */
export interface Outcome {
  /** HTTP status; undefined if the connection ended before a response. */
  readonly status: number | undefined;
  readonly body: string;
  /** Whether the whole body was received. */
  readonly isComplete: boolean;
  /** Signature of the backend server, if the response carries one. */
  readonly signature: string | undefined;
  /** Request id that the response carries. */
  readonly answeredId: string | undefined;
  readonly endedAt: number;
}

/** One request of a caller. All times of a history are in ms on the same monotonic clock. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: RequestKind;
  /** Name of the process that the request was sent to. */
  readonly process: string;
  readonly key: string;
  readonly sentAt: number;
  /** Time at which the caller disconnected before the end of the response. */
  disconnectedAt?: number;
  outcome?: Outcome;
}

/** Arrival of a request at a backend server. */
export interface ArrivalRecord {
  readonly id: string;
  readonly account: string;
  readonly arrivedAt: number;
  /** Whether the server executed the request. */
  readonly hasRun: boolean;
  readonly endedAt?: number;
}

/** Period in which a server must not receive new requests. */
export interface DrainPeriod {
  readonly from: number;
  /** Infinite while the period lasts, and for a server that was replaced. */
  to: number;
}

/** Arrival of any request at a backend server that the server did not answer with 421. */
export interface CallRecord {
  /** Id of the request; undefined for stage calls and releases, which any process may have sent. */
  readonly requestId?: string;
  readonly arrivedAt: number;
}

/** Period from one time to another. */
export interface Period {
  readonly from: number;
  readonly to: number;
}

/** Period in which the operator's row evacuates a failure domain. */
export interface EvacuationPeriod {
  readonly domain: string;
  /** Time at which the store had the row. */
  readonly from: number;
  /** Infinite while the row exists. */
  to: number;
}

/** Observations of one backend server. */
export interface ServerRecord {
  readonly id: string;
  readonly service: string;
  /** Failure domain in its registration. */
  readonly domain: string;
  readonly arrivals: readonly ArrivalRecord[];
  /** Arrivals of all requests, stage calls and releases. */
  readonly calls: readonly CallRecord[];
  /** Periods in which the server stated that it was cold. */
  readonly coldPeriods: Period[];
  /** Periods in which its registration was marked as draining or was missing. */
  readonly drainPeriods: DrainPeriod[];
}

/** A fault on a process, a link, a server or the store. */
export interface Disturbance {
  /** Name of a process, id of a server, `store`, or `store of NAME` for the link of a process. */
  readonly subject: string;
  readonly kind: FaultKind;
  readonly from: number;
  /** Infinite while the fault lasts. */
  to: number;
}

/** Period in which an API key was in the published configuration. */
export interface KeyPeriod {
  readonly key: string;
  readonly account: string;
  readonly from: number;
  to: number;
}

/** Everything that the checks evaluate. */
export interface SoakHistory {
  readonly requests: RequestRecord[];
  readonly servers: readonly ServerRecord[];
  readonly disturbances: Disturbance[];
  readonly keys: KeyPeriod[];
  readonly evacuations: EvacuationPeriod[];
  /** Violations detected while the soak ran. */
  readonly observed: string[];
}

/** Kinds of faults; see `FAULT_ACTIONS` for the effect of each. */
export type FaultKind =
  | 'freeze'
  | 'kill'
  | 'terminate'
  | 'reload'
  | 'storeLinkCut'
  | 'storeLinkSilent'
  | 'storeLinkSlow'
  | 'storeRefuses'
  | 'storeSilent'
  | 'storeLosesAnswers'
  | 'storeHistoryLost'
  | 'storeClockJumps'
  | 'serverLinkCut'
  | 'serverLinkSilent'
  | 'serverLinkOneWay'
  | 'serverLinkSlow'
  | 'serverMisbehaves'
  | 'serverDrains'
  | 'serversSwapAddresses'
  | 'keysChange'
  | 'rowMalformed'
  | 'storeRestored'
  | 'evacuation'
  | 'serverCold';

/** One entry of a fault series. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  /** Start, in ms after the start of the fault phase. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Random number that selects the process, server or variant; at least 0, below 1. */
  readonly choice: number;
}

/** A serving process of the soak. */
export interface SoakProcess {
  readonly name: string;
  /** Address for callers. */
  readonly address: string;
  readonly process: ManagedProcess;
  /** Relay between the process and the store. */
  readonly storeLink: TcpRelay;
  /** Whether the soak itself is stopping or starting the process. */
  isRestarting: boolean;
}

/** A backend server of the soak behind a relay. */
export interface SoakServer {
  readonly record: ServerRecord;
  readonly link: TcpRelay;
  /** @param choice - random number that selects a misbehaviour, from 0 to below 1; undefined ends it */
  setFault(choice: number | undefined): void;
  /** @returns number of stage results that are not released yet */
  unreleasedResultCount(): number;
}

/** Processes and stand-ins under test, independent of the protocol between them. */
export interface SoakDeployment {
  readonly processes: readonly SoakProcess[];
  readonly servers: readonly SoakServer[];
  /** Failure domains of the servers. */
  readonly failureDomains: readonly string[];
  /** Records of all servers that have run, including replaced ones. */
  readonly allServerRecords: readonly ServerRecord[];
  /** Sets the fault of the store; undefined clears it. */
  setStoreFault(fault: 'refuse' | 'silent' | 'lost-answer' | undefined): void;
  /** Drops the change history of the store. */
  dropStoreHistory(): void;
  /** @returns function that restores the store from a copy that is taken now */
  copyStore(): () => void;
  /** Writes again what the operator and the servers wrote last. */
  rewriteStore(): void;
  /** Shifts the clock of the store. */
  shiftStoreClock(offsetMs: number): void;
  /**
   * Publishes a configuration.
   * @param accounts - account of each API key
   */
  publishKeys(accounts: Readonly<Record<string, string>>): void;
  /** Writes or removes the operator's row that evacuates a failure domain. */
  setEvacuated(domain: string, isEvacuated: boolean): void;
  /** Lets a server state in its registration and responses that it is cold for a time, in ms. */
  startColdPeriod(server: SoakServer, durationMs: number): void;
  /** Writes a row that cannot be parsed. */
  writeMalformedRow(): void;
  /** Sets the registration of a server; `gone` removes it. */
  register(server: SoakServer, state: 'ready' | 'draining' | 'gone'): void;
  /** Stops two servers and starts servers with new ids and exchanged services at their addresses. */
  swapAddresses(first: SoakServer, second: SoakServer): Promise<void>;
  /** @returns path and headers of a request */
  describeRequest(record: RequestRecord): { path: string; headers: Record<string, string> };
  /** @returns outcome fields that the protocol carries in headers */
  readHeaders(headers: Record<string, string | string[] | undefined>): {
    signature: string | undefined;
    answeredId: string | undefined;
  };
  /** @returns whether the process reports that it is ready for requests */
  isReady(process: SoakProcess): Promise<boolean>;
  /** Folder with settings and logs. */
  readonly folder: string;
  /** Stops all processes and stand-ins. */
  stop(keepFolder: boolean): Promise<void>;
}
