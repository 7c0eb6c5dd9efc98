/**
 * Calls between processes of the system other than attempts, as interfaces exposed by tRPC routers.
 */
import { z } from 'zod';
import type { AttemptStatus, Load, RevisionNotice } from './Attempt.js';
import type { Change } from './Configuration.js';

/** Path prefix of tRPC calls on entries and agents. */
export const TRPC_PATH = '/trpc';

/** Header that carries the internal token, as `Bearer TOKEN`. */
export const INTERNAL_TOKEN_HEADER = 'x-citronstage-internal';

/** Input of the calls that concern one attempt. */
export const AttemptAddress = z.object({ attemptId: z.string().min(1) });
/**
 * Acknowledges the outcome of an attempt. `won` is false if the result was not used, as with a
 * hedge that lost; its usage is overhead.
 */
export const Acknowledgement = z.object({ attemptId: z.string().min(1), won: z.boolean() });
export const Acknowledgements = z.object({ attempts: z.array(Acknowledgement).max(1000) });
export type Acknowledgement = z.infer<typeof Acknowledgement>;
/** Input of the call for changes: those after revision `after` are requested. */
export const RevisionRange = z.object({ after: z.number().int().nonnegative() });

/** Changes after a revision, oldest first, and the revision known to the responding process. */
export interface ChangesSince {
  readonly changes: Change[];
  readonly notice: RevisionNotice;
}

/** Configuration calls that both entries and agents provide. */
export interface ConfigurationControl {
  /** Returns the changes after a revision. */
  since(after: number): Promise<ChangesSince>;
  /** Applies changes that were just published, ignoring those already known. */
  notify(changes: readonly Change[]): Promise<RevisionNotice>;
}

/** State of a backend server as reported by its agent. */
export interface ServerStatus {
  readonly agentId: string;
  readonly serverId: string;
  readonly incarnation: string;
  readonly pool: string;
  readonly failureDomain: string;
  readonly load: Load;
  readonly notice: RevisionNotice;
}

/** Calls that an agent provides. */
export interface AgentControl {
  readonly configuration: ConfigurationControl;
  status(attemptId: string): Promise<AttemptStatus>;
  /**
   * Ensures that an attempt that has not run never will. Has no effect on an attempt that has run.
   */
  voidAttempt(attemptId: string): Promise<AttemptStatus>;
  /** Cancels an attempt; non-idempotent runs continue. */
  cancel(attemptId: string): Promise<AttemptStatus>;
  acknowledge(attempts: readonly Acknowledgement[]): Promise<void>;
  drain(): Promise<ServerStatus>;
  resume(): Promise<ServerStatus>;
  serverStatus(): Promise<ServerStatus>;
}

/** Calls that an entry provides to other entries. */
export interface EntryControl {
  readonly configuration: ConfigurationControl;
  /** Returns the decisions about a request, or null if this entry has none. */
  explanation(requestId: string): Promise<Explanation | null>;
  status(): Promise<EntryStatus>;
}

/** One decision about a request and its reason. `atMs` is the time since the request's arrival. */
export interface Decision {
  readonly atMs: number;
  readonly stage: string | null;
  /** Action, such as `admit`, `route`, `send`, `resend`, `retry`, `hedge`, `refuse` or `finish`. */
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
