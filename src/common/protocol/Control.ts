/** Calls between the system's processes other than attempts, as interfaces that tRPC routers expose. */
import { z } from 'zod';
import type { AttemptStatus, Load, RevisionNotice } from './Attempt.js';
import type { Change } from './Configuration.js';

/** Path prefix of tRPC calls on entries and agents. */
export const TRPC_PATH = '/trpc';

/** Header that carries the internal token, as `Bearer TOKEN`. */
export const INTERNAL_TOKEN_HEADER = 'x-citronstage-internal';

export const AttemptAddress = z.object({ attemptId: z.string().min(1) });
/** `won` is false if the result was not used (a hedge that lost); its usage is overhead. */
export const Acknowledgement = z.object({ attemptId: z.string().min(1), won: z.boolean() });
export const Acknowledgements = z.object({ attempts: z.array(Acknowledgement).max(1000) });
export type Acknowledgement = z.infer<typeof Acknowledgement>;
export const RevisionRange = z.object({ after: z.number().int().nonnegative() });

/** Changes after a revision, oldest first, and what the answering process knows. */
export interface ChangesSince {
  readonly changes: Change[];
  readonly notice: RevisionNotice;
}

/** Configuration calls, the same on entries and agents. */
export interface ConfigurationControl {
  since(after: number): Promise<ChangesSince>;
  /** Takes changes that were just published; ignores those already known. */
  notify(changes: readonly Change[]): Promise<RevisionNotice>;
}

/** State of a backend server as its agent reports it. */
export interface ServerStatus {
  readonly agentId: string;
  readonly serverId: string;
  readonly incarnation: string;
  readonly pool: string;
  readonly failureDomain: string;
  readonly load: Load;
  readonly notice: RevisionNotice;
}

/** Calls that an agent answers. */
export interface AgentControl {
  readonly configuration: ConfigurationControl;
  status(attemptId: string): Promise<AttemptStatus>;
  /** Makes sure that an attempt that has not run never will. No effect on one that has. */
  voidAttempt(attemptId: string): Promise<AttemptStatus>;
  /** Stops an attempt; claimed non-idempotent attempts go on. */
  cancel(attemptId: string): Promise<AttemptStatus>;
  acknowledge(attempts: readonly Acknowledgement[]): Promise<void>;
  drain(): Promise<ServerStatus>;
  resume(): Promise<ServerStatus>;
  serverStatus(): Promise<ServerStatus>;
}

/** Calls that an entry answers to other entries. */
export interface EntryControl {
  readonly configuration: ConfigurationControl;
  /** @returns decisions about a request, or null if this entry has none. */
  explanation(requestId: string): Promise<Explanation | null>;
  status(): Promise<EntryStatus>;
}

/** One decision about a request, with its reason. `atMs` counts from the request's arrival. */
export interface Decision {
  readonly atMs: number;
  readonly stage: string | null;
  /** Such as `admit`, `route`, `send`, `resend`, `retry`, `hedge`, `refuse`, `finish`. */
  readonly action: string;
  readonly reason: string;
}

/** All decisions about one request. */
export interface Explanation {
  readonly requestId: string;
  readonly account: string;
  readonly template: string;
  readonly decisions: readonly Decision[];
}

/** State of an entry. */
export interface EntryStatus {
  readonly entryId: string;
  readonly notice: RevisionNotice;
  readonly requestsRunning: number;
  readonly ready: boolean;
  readonly servers: readonly {
    readonly agentId: string;
    readonly pool: string;
    readonly state: 'live' | 'leaving' | 'ejected' | 'draining';
  }[];
}
