import { setTimeout as sleep } from 'node:timers/promises';
import { sha256 } from '../../common/Digest.js';
import type { ClaimResult, ClaimTarget } from '../../common/attempts/Types.js';
import {
  CLAIM_INLINE_RESULT_BYTES,
  CLAIM_TABLE,
  Claim,
  isSameHolder,
} from '../../common/protocol/Claim.js';
import type { Clock, RandomSource } from '../../common/time/Types.js';
import type { ObjectStore, PlatformError, Row, TableStore } from '../../storage/Types.js';
import type { ClaimRequest, ClaimStore } from '../Types.js';
import { RowBatcher } from './RowBatcher.js';

/** Timeout of one call to the table service or the object store. */
const CALL_TIMEOUT_MS = 1000;

/**
 * Failed writes (lost answer or store unavailable) after which an attempt is refused. A single
 * failure may be a broken connection; after three, an early refusal serves the caller better.
 */
const MAX_ACQUIRE_FAILURES = 3;

const ACQUIRE_RETRY_MS = 20;
const SETTLE_RETRY_MIN_MS = 100;
const SETTLE_RETRY_MAX_MS = 2000;

/** Services that the claim writer uses. */
export interface ClaimWriterServices {
  readonly store: TableStore;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Called when a row of this holder was changed by another process. */
  readonly onExternalChange?: (key: string, current: Claim) => void;
  /** Resolves after a delay in ms; replaced in tests. */
  readonly delay?: (ms: number) => Promise<unknown>;
}

/** How to proceed after a conflict with an existing row: end the request or replace the row. */
type ConflictResolution = ClaimResult | { readonly kind: 'take-over' };

/**
 * Writes claim rows. A holder claims a key at most once: after its row became `void`, it never
 * claims the key again. If a row equals one read earlier, no other holder had it in between.
 */
export class ClaimWriter implements ClaimStore {
  private readonly batcher: RowBatcher;

  /**
   * By key and attempt: version of the acquired row, or version that the last write expected. A
   * write whose answer was lost may still reach the store; a later write that expects the same
   * version makes it fail.
   */
  private readonly rowVersions = new Map<string, number>();

  private readonly delay: (ms: number) => Promise<unknown>;

  private disposed = false;

  /** @param services - store, object store, clock, randomness */
  constructor(private readonly services: ClaimWriterServices) {
    this.batcher = new RowBatcher(services.store, CALL_TIMEOUT_MS);
    this.delay = services.delay ?? ((ms) => sleep(ms, undefined, { ref: false }));
  }

  /**
   * Inserts the row if it is absent, or takes it over if it is `void` or was settled by the entry.
   * After a lost answer the write is repeated. If a row exists by then, the conflict returns its
   * current content, whereas a plain read may be stale.
   */
  async acquire(request: ClaimRequest): Promise<ClaimResult> {
    const end = await this.tryAcquire(request);
    const isHeld = end.kind === 'acquired' || (end.kind === 'unavailable' && end.mayExist);
    if (!isHeld) this.rowVersions.delete(versionKeyOf(request.key, request.claim));
    return end;
  }

  async settle(key: string, claim: Claim, target: ClaimTarget, output?: string): Promise<boolean> {
    const value = await this.createFinalClaim(key, claim, target, output);
    const versionKey = versionKeyOf(key, claim);
    let version = this.rowVersions.get(versionKey) ?? 0;
    let retryMs = SETTLE_RETRY_MIN_MS;
    while (!this.disposed) {
      const result = await this.batcher.write({ table: CLAIM_TABLE, key, version, value });
      if (result.ok || result.error.kind === 'conflict') {
        const resolution =
          result.ok || this.resolveSettleConflict(key, value, result.error as Conflict);
        if (typeof resolution === 'boolean') {
          this.rowVersions.delete(versionKey);
          return resolution;
        }
        version = resolution.version;
      } else {
        await this.delay(this.jitter(retryMs));
        retryMs = Math.min(retryMs * 2, SETTLE_RETRY_MAX_MS);
      }
    }
    return false;
  }

  async replay(key: string, claim: Claim): Promise<string | null> {
    const result = await this.services.store.read([{ table: CLAIM_TABLE, key }], {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const row = result.ok ? parseClaim(result.value[0]) : null;
    if (!row || row.state !== 'done' || row.inputDigest !== claim.inputDigest) return null;
    return this.readStoredOutput(row);
  }

  /** Stops retrying writes. */
  dispose(): void {
    this.disposed = true;
  }

  private async tryAcquire(request: ClaimRequest): Promise<ClaimResult> {
    const { key, claim, deadline } = request;
    const versionKey = versionKeyOf(key, claim);
    let version = 0;
    let mayExist = false;
    let failures = 0;
    while (
      failures < MAX_ACQUIRE_FAILURES &&
      this.services.clock.now() < deadline &&
      !this.disposed
    ) {
      this.rowVersions.set(versionKey, version);
      const result = await this.batcher.write({ table: CLAIM_TABLE, key, version, value: claim });
      if (result.ok) return this.recordAcquired(versionKey, result.value);
      const { error } = result;
      if (error.kind === 'conflict') {
        const resolution = await this.resolveConflict(request, error.current);
        if (resolution.kind === 'acquired') return this.recordAcquired(versionKey, error.current);
        if (resolution.kind !== 'take-over') return resolution;
        version = error.current.version;
      } else {
        failures += 1;
        mayExist ||= error.kind === 'ambiguous';
        if (failures < MAX_ACQUIRE_FAILURES) await this.delay(ACQUIRE_RETRY_MS);
      }
    }
    return unavailable('the table service gave no answer', mayExist);
  }

  private recordAcquired(versionKey: string, row: Row): ClaimResult {
    this.rowVersions.set(versionKey, row.version);
    return { kind: 'acquired' };
  }

  private async resolveConflict(request: ClaimRequest, row: Row): Promise<ConflictResolution> {
    const current = parseClaim(row);
    if (!current) {
      if (row.version === 0) return { kind: 'take-over' };
      return unavailable('the claim row is not readable', false);
    }
    if (current.inputDigest !== request.claim.inputDigest) {
      // The output is omitted: it belongs to another input, and refusals are retained for long.
      const { output, outputObject, ...claim } = current;
      return { kind: 'key-reused', claim };
    }
    if (current.state === 'done') return this.resolveDone(current);
    return isSameHolder(current, request.claim)
      ? SAME_HOLDER_RESOLUTIONS[current.state]
      : resolveOtherHolder(current, request);
  }

  private async resolveDone(current: Claim): Promise<ConflictResolution> {
    const output = await this.readStoredOutput(current);
    if (output !== null) return { kind: 'replay', output };
    return unavailable('the stored result could not be read', false);
  }

  private async readStoredOutput(claim: Claim): Promise<string | null> {
    if (claim.output !== undefined) return claim.output;
    if (claim.outputObject === undefined) return null;
    const result = await this.services.objects.get(claim.outputObject, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return result.ok ? result.value : null;
  }

  private async createFinalClaim(
    key: string,
    claim: Claim,
    target: ClaimTarget,
    output: string | undefined,
  ): Promise<Claim> {
    const value: Claim = { ...claim, state: target };
    if (target !== 'done' || output === undefined) return value;
    if (Buffer.byteLength(output, 'utf8') <= CLAIM_INLINE_RESULT_BYTES) return { ...value, output };
    const outputObject = `claim-${sha256(versionKeyOf(key, claim))}`;
    await this.putObject(outputObject, output);
    return { ...value, outputObject };
  }

  private async putObject(objectKey: string, body: string): Promise<void> {
    let retryMs = SETTLE_RETRY_MIN_MS;
    while (!this.disposed) {
      const options = { timeoutMs: CALL_TIMEOUT_MS };
      const result = await this.services.objects.put(objectKey, body, options);
      if (result.ok) return;
      await this.delay(this.jitter(retryMs));
      retryMs = Math.min(retryMs * 2, SETTLE_RETRY_MAX_MS);
    }
  }

  /**
   * Evaluates the row that conflicted with a write of the final state. An absent row is written
   * too, so that an insert of this holder that is still in flight fails.
   * @returns whether the row has the final state, or the row to replace with the next write
   */
  private resolveSettleConflict(key: string, value: Claim, { current }: Conflict): boolean | Row {
    const claim = parseClaim(current);
    if (!claim) return current;
    if (isSameHolder(claim, value)) {
      if (claim.state === value.state) return true;
      if (claim.state === 'claimed') return current;
    }
    this.services.onExternalChange?.(key, claim);
    return false;
  }

  private jitter(ms: number): number {
    return ms * (0.5 + this.services.random.next());
  }
}

type Conflict = Extract<PlatformError, { kind: 'conflict' }>;

/** How to proceed with a row of this holder, by its state; `done` is the same for all holders. */
const SAME_HOLDER_RESOLUTIONS: Readonly<
  Record<Exclude<Claim['state'], 'done'>, ConflictResolution>
> = {
  claimed: { kind: 'acquired' },
  void: { kind: 'given-up' },
  unknown: { kind: 'outcome-unknown' },
};

/**
 * The attempt of a `void` row did not run and its holder never claims the key again, so any holder
 * may take the row over.
 */
function resolveOtherHolder(current: Claim, { replaces }: ClaimRequest): ConflictResolution {
  if (current.state === 'void') return { kind: 'take-over' };
  const isReplaceable = replaces?.state === 'claimed' && current.state === 'claimed';
  if (isReplaceable && isSameHolder(current, replaces)) return { kind: 'take-over' };
  return { kind: 'claimed', claim: current };
}

function parseClaim(row: Row | undefined): Claim | null {
  const parsed = Claim.safeParse(row?.value);
  return parsed.success ? parsed.data : null;
}

function versionKeyOf(key: string, claim: Claim): string {
  return `${key}\n${claim.attemptId}`;
}

function unavailable(message: string, mayExist: boolean): ClaimResult {
  return { kind: 'unavailable', message, mayExist };
}
