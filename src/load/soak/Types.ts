/** Randomized soak: real serving processes under faults, judged by what callers and servers saw. */
import type { ManagedProcess } from '../launch/ManagedProcess.js';
import type { TcpRelay } from '../launch/TcpRelay.js';

/** Kinds of requests that the soak sends, with what a route allows them. */
export const REQUEST_KINDS = {
  read: { isStream: false, mayRepeat: true },
  claim: { isStream: false, mayRepeat: false },
  once: { isStream: true, mayRepeat: false },
  again: { isStream: true, mayRepeat: true },
  staged: { isStream: true, mayRepeat: true },
} as const;
export type RequestKind = keyof typeof REQUEST_KINDS;

/** End of a request as its caller saw it. */
export interface Outcome {
  /** Undefined if the connection ended before an answer. */
  readonly status: number | undefined;
  readonly body: string;
  /** False if the answer broke off. */
  readonly isComplete: boolean;
  /** Signature of the backend server, if the answer carries one. */
  readonly signature: string | undefined;
  /** Id of the request that the answer names. */
  readonly answeredId: string | undefined;
  readonly endedAt: number;
}

/** One request of a caller. Times are of one monotonic clock, in ms. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: RequestKind;
  /** Name of the process that it was sent to. */
  readonly process: string;
  readonly key: string;
  readonly sentAt: number;
  /** When the caller closed its connection. */
  leftAt?: number;
  outcome?: Outcome;
}

/** A request at a backend server. */
export interface ArrivalRecord {
  readonly id: string;
  readonly account: string;
  readonly arrivedAt: number;
  readonly hasRun: boolean;
  readonly endedAt?: number;
}

/** Time in which a server was to get no new work. */
export interface Absence {
  readonly from: number;
  /** Infinite while it lasts, and for a server that was replaced. */
  to: number;
}

/** What one backend server saw. */
export interface ServerRecord {
  readonly id: string;
  readonly service: string;
  readonly arrivals: readonly ArrivalRecord[];
  /** When its registration was marked as draining or missing. */
  readonly absences: Absence[];
}

/** A fault on a process, a link, a server or the store. */
export interface Disturbance {
  /** Name of the process or server, or `store`. */
  readonly subject: string;
  readonly kind: FaultKind;
  readonly from: number;
  /** Infinite while the fault lasts. */
  to: number;
}

/** Times at which a key was in the published configuration. */
export interface KeyPeriod {
  readonly key: string;
  readonly account: string;
  readonly from: number;
  to: number;
}

/** All that the promises are judged by. */
export interface SoakHistory {
  readonly requests: RequestRecord[];
  readonly servers: readonly ServerRecord[];
  readonly disturbances: Disturbance[];
  readonly keys: KeyPeriod[];
  /** Violations that were seen while the soak ran. */
  readonly observed: string[];
}

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
  | 'rowMalformed';

/** One entry of a fault series. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  /** Start, in ms after the start of the faults. */
  readonly atMs: number;
  readonly forMs: number;
  /** Chooses the process, server or variant; at least 0, below 1. */
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
  /** True while the soak itself stops and starts the process. */
  isRestarting: boolean;
}

/** A backend server of the soak behind a relay. */
export interface SoakServer {
  readonly record: ServerRecord;
  readonly link: TcpRelay;
  /** @param choice - picks a way to misbehave; undefined ends it */
  misbehave(choice: number | undefined): void;
  /** @returns number of stage results that were not released */
  results(): number;
}

/** Processes and stand-ins under test, in words that do not depend on their protocol. */
export interface SoakDeployment {
  readonly processes: readonly SoakProcess[];
  readonly servers: readonly SoakServer[];
  /** Records of all servers that ever ran; grows as servers are replaced. */
  readonly everyServer: readonly ServerRecord[];
  /** Sets how the store answers; undefined ends the fault. */
  disturbStore(fault: 'refuse' | 'silent' | 'lost-answer' | undefined): void;
  loseStoreHistory(): void;
  moveStoreClock(offsetMs: number): void;
  /** Publishes a configuration with the given keys. */
  publishKeys(accounts: Readonly<Record<string, string>>): void;
  /** Writes a row that cannot be read. */
  writeMalformedRow(): void;
  register(server: SoakServer, state: 'ready' | 'draining' | 'gone'): void;
  /** Ends two servers; others with new ids and exchanged services start at their addresses. */
  swapAddresses(first: SoakServer, second: SoakServer): Promise<void>;
  /** @returns headers and path of a request */
  describeRequest(record: RequestRecord): { path: string; headers: Record<string, string> };
  /** @returns outcome fields that the protocol carries in headers */
  readHeaders(headers: Record<string, string | string[] | undefined>): {
    signature: string | undefined;
    answeredId: string | undefined;
  };
  /** @returns true if the process says that it takes requests */
  isReady(process: SoakProcess): Promise<boolean>;
  /** Folder with settings and logs. */
  readonly folder: string;
  stop(keepFolder: boolean): Promise<void>;
}
