import { setTimeout as sleep } from 'node:timers/promises';
import type { AttemptStatus } from '../common/protocol/Attempt.js';
import { Claim, CLAIM_TABLE, claimKey, isSameHolder } from '../common/protocol/Claim.js';
import type { ObjectStore, Row, TableStore } from '../storage/Types.js';
import type { AgentCalls } from './Types.js';

/** Limits of one call, so that an unresponsive agent or store is retried before the deadline. */
const STATUS_TIMEOUT_MS = 500;
const STORE_TIMEOUT_MS = 1000;

/** Pause between queries to a holder that did not answer. */
const HOLDER_RETRY_PAUSE_MS = 100;

/**
 * How a request continues when another attempt holds the claim.
 * - `output`: the holder finished; `output` is its output as JSON text.
 * - `join`: the holder has the attempt; the request waits for its result.
 * - `replace`: the holder did not run and never will; a new attempt may replace the claim.
 * - `unknown`: it can't be determined whether the holder ran.
 */
export type ClaimSettlement =
  | { readonly kind: 'output'; readonly output: string }
  | { readonly kind: 'join'; readonly claim: Claim }
  | { readonly kind: 'replace'; readonly claim: Claim }
  | { readonly kind: 'unknown'; readonly message: string };

/** A claim that another attempt holds, and the request that needs it. */
export interface ClaimConflict {
  /** Claim row as read by the agent that refused the attempt. */
  readonly claim: Claim;
  readonly account: string;
  readonly idempotencyKey: string;
  readonly stage: string;
  /** Aborted when the request is aborted. */
  readonly signal: AbortSignal;
}

/** Options of {@link ClaimSettler}. */
export interface ClaimSettlerOptions {
  readonly agents: Pick<AgentCalls, 'status'>;
  readonly table: TableStore;
  readonly objects: ObjectStore;
}

/** Null if the claim is not settled yet and its row has to be read again. */
type SettlementOrRetry = ClaimSettlement | null;

/**
 * Determines how a request continues when another attempt holds its claim. Asks the holder and
 * never assumes an outcome from elapsed time: a paused holder may resume and run the work later.
 */
export class ClaimSettler {
  private readonly handlersByState: Record<
    Claim['state'],
    (conflict: ClaimConflict, claim: Claim) => Promise<SettlementOrRetry>
  > = {
    done: (_conflict, claim) => this.readOutput(claim),
    void: async (_conflict, claim) => ({ kind: 'replace', claim }),
    unknown: async () => ({ kind: 'unknown', message: 'the claim row says unknown' }),
    claimed: (conflict, claim) => this.queryHolder(conflict, claim),
  };

  constructor(private readonly options: ClaimSettlerOptions) {}

  /**
   * Queries the holder until the claim is settled or the request is aborted.
   * @param conflict - claim and request
   * @returns how the request continues
   */
  async settle(conflict: ClaimConflict): Promise<ClaimSettlement> {
    let { claim } = conflict;
    while (!conflict.signal.aborted) {
      const settlement = await this.handlersByState[claim.state](conflict, claim);
      if (settlement) return settlement;
      await sleep(HOLDER_RETRY_PAUSE_MS, undefined, { signal: conflict.signal }).catch(
        () => undefined,
      );
      claim = (await this.readClaim(conflict))?.claim ?? claim;
    }
    return { kind: 'unknown', message: 'the holder of the claim could not be asked in time' };
  }

  private async readOutput(claim: Claim): Promise<SettlementOrRetry> {
    if (claim.output !== undefined) return { kind: 'output', output: claim.output };
    if (claim.outputObject === undefined) return null;
    const options = { timeoutMs: STORE_TIMEOUT_MS };
    const body = await this.options.objects.get(claim.outputObject, options);
    return body.ok && body.value !== null ? { kind: 'output', output: body.value } : null;
  }

  private async queryHolder(conflict: ClaimConflict, claim: Claim): Promise<SettlementOrRetry> {
    const status = await this.options.agents.status(
      claim.address,
      claim.attemptId,
      STATUS_TIMEOUT_MS,
    );
    // A holder that does not answer may be paused and run later, so it keeps the claim.
    if (!status) return null;
    if (status.incarnation !== claim.incarnation) return this.markUnknown(conflict, claim);
    return settlementOf(status, claim);
  }

  /** Records that the holder was restarted: only its earlier process knew whether the work ran. */
  private async markUnknown(conflict: ClaimConflict, claim: Claim): Promise<SettlementOrRetry> {
    const current = await this.readClaim(conflict);
    if (!current || current.claim.state !== 'claimed') return null;
    if (!isSameHolder(current.claim, claim)) return null;
    const { table, key, version } = current.row;
    const value: Claim = { ...claim, state: 'unknown' };
    const result = await this.options.table.transaction(
      { checks: [{ table, key, version }], writes: [{ table, key, value }] },
      { timeoutMs: STORE_TIMEOUT_MS },
    );
    if (!result.ok) return null;
    return { kind: 'unknown', message: 'the agent that held the claim was restarted' };
  }

  private async readClaim(conflict: ClaimConflict): Promise<{ claim: Claim; row: Row } | null> {
    const key = claimKey(conflict.account, conflict.idempotencyKey, conflict.stage);
    const options = { timeoutMs: STORE_TIMEOUT_MS };
    const result = await this.options.table.read([{ table: CLAIM_TABLE, key }], options);
    const row = result.ok ? result.value[0] : undefined;
    const parsed = Claim.safeParse(row?.value);
    return row && parsed.success ? { claim: parsed.data, row } : null;
  }
}

/** An attempt that the holder does not know is not joined: sending it there would run it again. */
function settlementOf(status: AttemptStatus, claim: Claim): SettlementOrRetry {
  if (status.state === 'unknown') return null;
  return status.state === 'voided' ? { kind: 'replace', claim } : { kind: 'join', claim };
}
