/** Following and publishing the configuration. */
import type { ChangeProblem } from '../common/configuration/ChangeValidation.js';
import type { Disposable, Event } from '../common/events/Types.js';
import type { RevisionNotice } from '../common/protocol/Attempt.js';
import type {
  Change,
  ChangeSubject,
  ConfigurationSnapshot,
} from '../common/protocol/Configuration.js';
import type { ChangesSince, ConfigurationControl } from '../common/protocol/Control.js';

/** Delayed actions, injected so that tests run in simulated time. */
export interface Timers {
  /**
   * @param delayMs - delay in milliseconds
   * @param action - called once after the delay
   * @returns disposing of it cancels the action
   */
  after(delayMs: number, action: () => void): Disposable;
}

/** Another process that is asked for changes while the store gives none. */
export interface ConfigurationPeer {
  /**
   * @param after - revision held here
   * @returns later changes; rejects if the peer does not answer in time
   */
  since(after: number): Promise<Pick<ChangesSince, 'changes'>>;
}

/** Keeps the newest configuration that can be learned; the revision held never decreases. */
export interface ConfigurationSource extends ConfigurationControl, Disposable {
  /** @returns what is in force here now; revision 0 before anything was learned. */
  snapshot(): ConfigurationSnapshot;
  /** @returns revision known and age of its confirmation by the store. */
  notice(): RevisionNotice;
  /** Reads the store now; ends when the read ended, with or without success. */
  refresh(): Promise<void>;
  /** True once the store or a peer gave a revision. */
  readonly ready: boolean;
  /** Fires after a new revision came into force. */
  readonly onChange: Event<ConfigurationSnapshot>;
  /**
   * Takes a notice from another process; pulls from it if it is ahead.
   * @param notice - what the other process knows
   * @param pull - reads changes after a revision from that process
   */
  hear(notice: RevisionNotice, pull: (after: number) => Promise<readonly Change[]>): void;
  /**
   * How long this process has known a revision newer than the given one.
   * @param revision - revision of a peer
   * @returns milliseconds, 0 if no newer one is known
   */
  newerKnownForMs(revision: number): number;
}

/** Errors of publishing. */
export type PublishError =
  | { readonly kind: 'conflict'; readonly head: number; readonly winner: Change | null }
  | {
      readonly kind: 'invalid';
      readonly message: string;
      readonly problems: readonly ChangeProblem[];
    }
  | { readonly kind: 'unavailable'; readonly message: string }
  | { readonly kind: 'ambiguous'; readonly message: string };

/** Outcome of publishing. */
export type PublishResult =
  | { readonly ok: true; readonly change: Change }
  | { readonly ok: false; readonly error: PublishError };

/** Publishes configuration changes. */
export interface ConfigurationWriter {
  /**
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

/** Tells other processes of a committed change. */
export interface ChangeNotifier {
  /**
   * Best effort: a process that misses the notice learns the change by polling.
   * @param changes - consecutive changes, oldest first
   */
  notify(changes: readonly Change[]): Promise<void>;
}
