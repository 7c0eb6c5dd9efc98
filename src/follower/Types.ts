/** Interfaces for following and publishing the configuration. */
import type { ChangeProblem } from '../common/configuration/ChangeValidation.js';
import type { Disposable, Event } from '../common/events/Types.js';
import type { RevisionNotice } from '../common/protocol/Attempt.js';
import type {
  Change,
  ChangeSubject,
  ConfigurationSnapshot,
} from '../common/protocol/Configuration.js';
import type { ChangesSince, ConfigurationControl } from '../common/protocol/Control.js';

/** Timer interface, injected so that tests run in simulated time. */
export interface Timers {
  /**
   * Schedules an action.
   * @param delayMs - delay in milliseconds
   * @param action - called once after the delay
   * @returns handle that cancels the action when disposed of
   */
  after(delayMs: number, action: () => void): Disposable;
}

/** Another process that can be queried for changes while the store does not answer. */
export interface ConfigurationPeer {
  /**
   * Reads changes.
   * @param after - revision that the calling process holds
   * @returns later changes; rejects if the peer does not answer in time
   */
  since(after: number): Promise<Pick<ChangesSince, 'changes'>>;
}

/** Holds the newest configuration received by this process; its revision never decreases. */
export interface ConfigurationSource extends ConfigurationControl, Disposable {
  /** @returns configuration in force here; revision 0 before the first one was received. */
  snapshot(): ConfigurationSnapshot;
  /** @returns revision in force here and age of its confirmation by the store. */
  notice(): RevisionNotice;
  /** Reads the store now; resolves when the read has ended, successfully or not. */
  refresh(): Promise<void>;
  /** Whether the store or a peer has sent a revision. */
  readonly ready: boolean;
  /** Fired after a new revision has come into force. */
  readonly onChange: Event<ConfigurationSnapshot>;
  /**
   * Receives a notice from another process and pulls changes from that process if it is ahead.
   * @param notice - revision that the other process holds
   * @param pull - reads changes after a revision from that process
   */
  receiveNotice(notice: RevisionNotice, pull: (after: number) => Promise<readonly Change[]>): void;
  /**
   * Returns how long this process has held a revision newer than the given one.
   * @param revision - revision of a peer
   * @returns time in milliseconds, 0 if no newer revision is known
   */
  newerRevisionHeldMs(revision: number): number;
}

/** Error of a publication. */
export type PublishError =
  | { readonly kind: 'conflict'; readonly head: number; readonly winner: Change | null }
  | {
      readonly kind: 'invalid';
      readonly message: string;
      readonly problems: readonly ChangeProblem[];
    }
  | { readonly kind: 'unavailable'; readonly message: string }
  | { readonly kind: 'ambiguous'; readonly message: string };

/** Outcome of a publication. */
export type PublishResult =
  | { readonly ok: true; readonly change: Change }
  | { readonly ok: false; readonly error: PublishError };

/** Publishes configuration changes. */
export interface ConfigurationWriter {
  /**
   * Publishes a change.
   * @param request - expected head revision, change id, author and subject
   * @returns the committed change or the error
   */
  publish(request: {
    expectedRevision: number;
    changeId: string;
    author: string;
    subject: ChangeSubject;
  }): Promise<PublishResult>;
}

/** Sends committed changes to other processes. */
export interface ChangeNotifier {
  /**
   * Sends changes, best effort: a process that misses the notice receives them by polling.
   * @param changes - consecutive changes, oldest first
   */
  notify(changes: readonly Change[]): Promise<void>;
}
