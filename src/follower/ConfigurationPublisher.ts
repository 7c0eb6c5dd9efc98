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

/** Tries of the transaction and of each read-back; after the last one the outcome is ambiguous. */
const MAX_TRIES = 4;
/** Delay before the second try; doubled before each later one. */
const INITIAL_BACKOFF_MS = 100;

/**
 * Changes after which the log is condensed again. At 560 changes a day the log is condensed twice a
 * day, and a starting process reads at most this many changes besides the condensed log.
 */
const CONDENSE_INTERVAL_CHANGES = 256;

/** Options of {@link ConfigurationPublisher}. */
export interface ConfigurationPublisherOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  /** Configuration that changes are validated against; receives the committed change. */
  readonly source: ConfigurationSource;
  /** Sends committed changes to the other processes; not awaited. */
  readonly notifier: ChangeNotifier;
  readonly logger: Logger;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
  /** Time-out of one call to the store, in milliseconds; 1000 by default. */
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
   * Publishes a change. Idempotent by change id: a retry finds and returns the change that an
   * earlier call has committed.
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
      return failure(invalidError(problems));
    }
    const change = parsed.data;
    const head = await readHead(this.options.store, this.timeoutMs);
    if (!head.ok) return failure({ kind: 'unavailable', message: 'the store does not answer' });
    if (head.value.revision > expectedRevision)
      return this.resolveByReadBack(change, head.value.revision);
    if (head.value.revision < expectedRevision) {
      const message = `the store shows revision ${head.value.revision}, not ${expectedRevision}`;
      return failure({ kind: 'unavailable', message });
    }
    const validationError = await this.validate(change);
    if (validationError) return failure(validationError);
    return this.commit(change, head.value);
  }

  /** Validates the change against exactly the revision that it follows. */
  private async validate(change: Change): Promise<PublishError | null> {
    const { source } = this.options;
    const expected = change.revision - 1;
    if (source.snapshot().revision < expected) await source.refresh();
    const snapshot = source.snapshot();
    if (snapshot.revision < expected) {
      return {
        kind: 'unavailable',
        message: `revision ${expected} is not known yet: this process holds ${snapshot.revision}`,
      };
    }
    // A newer revision here means that another publisher won; the transaction reports the conflict.
    if (snapshot.revision > expected) return null;
    const problems = validateChange(snapshot, change.subject);
    if (problems.length === 0) return null;
    return invalidError(problems);
  }

  /**
   * Retries the transaction while its outcome is ambiguous. The check of the head version ensures
   * that at most one of the tries takes effect.
   */
  private async commit(change: Change, head: Head): Promise<PublishResult> {
    const address = { table: CONFIGURATION_TABLE, key: changeKey(change.revision) };
    let isOutcomeOpen = false;
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      if (attempt > 0) await this.delay(INITIAL_BACKOFF_MS * 2 ** (attempt - 1));
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
      if (result.ok) return this.completePublish(change);
      if (result.error.kind === 'conflict') return this.resolveByReadBack(change, change.revision);
      if (result.error.kind === 'unavailable' && !isOutcomeOpen) {
        return failure({ kind: 'unavailable', message: result.error.message });
      }
      isOutcomeOpen = true;
      const committed = await readChange(this.options.store, change.revision, this.timeoutMs);
      if (committed.ok && committed.value)
        return this.compareWithCommitted(change, committed.value, change.revision);
    }
    const message = `no answer tells whether change ${change.changeId} was committed`;
    return failure({ kind: 'ambiguous', message });
  }

  /**
   * Reads the change that created the requested revision. It is this change if an earlier try was
   * committed and its answer was lost.
   */
  private async resolveByReadBack(change: Change, head: number): Promise<PublishResult> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      if (attempt > 0) await this.delay(INITIAL_BACKOFF_MS * 2 ** (attempt - 1));
      const committed = await readChange(this.options.store, change.revision, this.timeoutMs);
      // An absent row means a stale read: the head is already past this revision.
      if (committed.ok && committed.value)
        return this.compareWithCommitted(change, committed.value, head);
    }
    const message = `revision ${change.revision} exists, but its change could not be read`;
    return failure({ kind: 'ambiguous', message });
  }

  private compareWithCommitted(change: Change, committed: Change, head: number): PublishResult {
    if (committed.changeId === change.changeId) return this.completePublish(committed);
    return failure({
      kind: 'conflict',
      head: Math.max(head, committed.revision),
      winner: committed,
    });
  }

  private completePublish(change: Change): PublishResult {
    const { source, notifier, logger } = this.options;
    source.notify([change]).catch((error: unknown) => logger.error('own notice failed', error));
    notifier.notify([change]).catch((error: unknown) => logger.warn('notices failed', error));
    this.condense().catch((error: unknown) => logger.warn('condensing failed', error));
    return { ok: true, change };
  }

  /** Writes the last change of every subject, so that a starting process skips most of the log. */
  private async condense(): Promise<void> {
    const { store, source, condenseInterval = CONDENSE_INTERVAL_CHANGES } = this.options;
    const head = await readCondensedHead(store, this.timeoutMs);
    // The batch from revision 0 holds the last change of every subject; all of them are committed.
    const { changes } = await source.since(0);
    const revision = changes.at(-1)?.revision ?? 0;
    if (!head.ok || revision - head.value.revision < condenseInterval) return;
    await writeCondensed(store, head.value, changes, this.timeoutMs);
  }

  private delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timers.after(delayMs, resolve);
    });
  }
}

function failure(error: PublishError): PublishResult {
  return { ok: false, error };
}

function invalidError(problems: readonly ChangeProblem[]): PublishError {
  const messages = problems.map((problem) => `${problem.path.join('.')}: ${problem.message}`);
  return { kind: 'invalid', message: messages.join('; '), problems };
}
