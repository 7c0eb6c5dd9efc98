import { validateChange, type ChangeProblem } from '../common/configuration/ChangeValidation.js';
import {
  CONFIGURATION_TABLE,
  Change,
  changeKey,
  type ChangeSubject,
} from '../common/protocol/Configuration.js';
import type { Clock } from '../common/time/Types.js';
import type { TableStore } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { HEAD_ADDRESS, readChange, readHead, type Head } from './ChangeLog.js';
import { readCondensedHead, writeCondensed } from './CondensedLog.js';
import { SystemTimers } from './SystemTimers.js';
import type {
  ChangeNotifier,
  ConfigurationSource,
  ConfigurationWriter,
  PublishError,
  PublishResult,
  Timers,
} from './Types.js';

/** Tries of the transaction and of each read-back; then the outcome stays open. */
const TRIES = 4;
/** Pause before the second try; doubled before each later one. */
const FIRST_PAUSE_MS = 100;

/**
 * Changes after which the log is condensed again. At 560 changes a day that is twice a day, and a
 * process that starts reads at most this many changes besides the condensed log.
 */
const CONDENSE_INTERVAL_CHANGES = 256;

/** Options of {@link ConfigurationPublisher}. */
export interface ConfigurationPublisherOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  /** Configuration that changes are checked against; gets the committed change. */
  readonly source: ConfigurationSource;
  /** Tells the other processes; not awaited. */
  readonly notifier: ChangeNotifier;
  readonly logger: Logger;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
  /** Time-out of one call of the store, in milliseconds; 1000 by default. */
  readonly callTimeoutMs?: number;
  /** Changes after which the log is condensed again; 256 by default. */
  readonly condenseInterval?: number;
}

/** Publishes changes by compare-and-swap of the head row. */
export class ConfigurationPublisher implements ConfigurationWriter {
  private readonly timers: Timers;

  private readonly timeoutMs: number;

  constructor(private readonly options: ConfigurationPublisherOptions) {
    this.timers = options.timers ?? new SystemTimers();
    this.timeoutMs = options.callTimeoutMs ?? 1000;
  }

  /**
   * Publishes a change. Repeating a call with the same change id is safe: a change that was
   * committed by an earlier call is found and returned.
   * @param request - expected head revision, change id, author and subject
   * @returns committed change or error
   */
  async publish(request: {
    expectedRevision: number;
    changeId: string;
    author: string;
    subject: ChangeSubject;
  }): Promise<PublishResult> {
    const { expectedRevision, changeId, author, subject } = request;
    const at = this.options.clock.wallTime();
    const parsed = Change.safeParse({
      revision: expectedRevision + 1,
      changeId,
      author,
      at,
      subject,
    });
    if (!parsed.success) {
      const problems = parsed.error.issues.map(({ path, message }) => ({
        path: path as (string | number)[],
        message,
      }));
      return failure(invalid(problems));
    }
    const change = parsed.data;
    const head = await readHead(this.options.store, this.timeoutMs);
    if (!head.ok) return failure({ kind: 'unavailable', message: 'the store does not answer' });
    if (head.value.revision > expectedRevision) return this.settle(change, head.value.revision);
    if (head.value.revision < expectedRevision) {
      const message = `the store shows revision ${head.value.revision}, not ${expectedRevision}`;
      return failure({ kind: 'unavailable', message });
    }
    const fault = await this.validate(change);
    if (fault) return failure(fault);
    return this.commit(change, head.value);
  }

  /** Checks against exactly the revision that the change follows. */
  private async validate(change: Change): Promise<PublishError | null> {
    const { source } = this.options;
    const expected = change.revision - 1;
    if (source.snapshot().revision < expected) await source.refresh();
    const snapshot = source.snapshot();
    if (snapshot.revision < expected) {
      return { kind: 'unavailable', message: `revision ${expected} could not be read yet` };
    }
    // A newer revision here means that the race is lost already; the transaction will say so.
    if (snapshot.revision > expected) return null;
    const problems = validateChange(snapshot, change.subject);
    if (problems.length === 0) return null;
    return invalid(problems);
  }

  /**
   * Repeats the transaction while its outcome is open. The check on the version of the head makes
   * sure that at most one of the tries takes effect.
   */
  private async commit(change: Change, head: Head): Promise<PublishResult> {
    const address = { table: CONFIGURATION_TABLE, key: changeKey(change.revision) };
    let open = false;
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      if (attempt > 0) await this.pause(FIRST_PAUSE_MS * 2 ** (attempt - 1));
      const result = await this.options.store.transaction(
        {
          checks: [
            { ...HEAD_ADDRESS, version: head.version },
            { ...address, version: 0 },
          ],
          writes: [
            { ...HEAD_ADDRESS, value: { revision: change.revision } },
            { ...address, value: change },
          ],
        },
        { timeoutMs: this.timeoutMs },
      );
      if (result.ok) return this.accept(change);
      if (result.error.kind === 'conflict') return this.settle(change, change.revision);
      if (result.error.kind === 'unavailable' && !open) {
        return failure({ kind: 'unavailable', message: result.error.message });
      }
      open = true;
      const written = await readChange(this.options.store, change.revision, this.timeoutMs);
      if (written.ok && written.value) return this.decide(change, written.value, change.revision);
    }
    const message = `no answer tells whether change ${change.changeId} was committed`;
    return failure({ kind: 'ambiguous', message });
  }

  /** Reads which change made the wanted revision; it may be this one, after a lost answer. */
  private async settle(change: Change, head: number): Promise<PublishResult> {
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      if (attempt > 0) await this.pause(FIRST_PAUSE_MS * 2 ** (attempt - 1));
      const written = await readChange(this.options.store, change.revision, this.timeoutMs);
      // An absent row is a stale read: the head already passed this revision.
      if (written.ok && written.value) return this.decide(change, written.value, head);
    }
    const message = `revision ${change.revision} exists, but its change could not be read`;
    return failure({ kind: 'ambiguous', message });
  }

  private decide(change: Change, written: Change, head: number): PublishResult {
    if (written.changeId === change.changeId) return this.accept(written);
    return failure({ kind: 'conflict', head: Math.max(head, written.revision), winner: written });
  }

  private accept(change: Change): PublishResult {
    const { source, notifier, logger } = this.options;
    source.notify([change]).catch((error: unknown) => logger.error('own notice failed', error));
    notifier.notify([change]).catch((error: unknown) => logger.warn('notices failed', error));
    this.condense().catch((error: unknown) => logger.warn('condensing failed', error));
    return { ok: true, change };
  }

  /** Writes the last change of every subject, so that a new process need not read the whole log. */
  private async condense(): Promise<void> {
    const { store, source, condenseInterval = CONDENSE_INTERVAL_CHANGES } = this.options;
    const head = await readCondensedHead(store, this.timeoutMs);
    // The batch from revision 0 has the last change of every subject; all are committed.
    const { changes } = await source.since(0);
    const revision = changes.at(-1)?.revision ?? 0;
    if (!head.ok || revision - head.value.revision < condenseInterval) return;
    await writeCondensed(store, head.value, changes, this.timeoutMs);
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timers.after(delayMs, resolve);
    });
  }
}

function failure(error: PublishError): PublishResult {
  return { ok: false, error };
}

function invalid(problems: readonly ChangeProblem[]): PublishError {
  const texts = problems.map((problem) => `${problem.path.join('.')}: ${problem.message}`);
  return { kind: 'invalid', message: texts.join('; '), problems };
}
