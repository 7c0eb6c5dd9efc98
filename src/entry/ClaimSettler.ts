import { setTimeout as sleep } from 'node:timers/promises';
import type { AttemptStatus } from '../common/protocol/Attempt.js';
import { Claim, CLAIM_TABLE, claimKey, isSameHolder } from '../common/protocol/Claim.js';
import type { ObjectStore, Row, TableStore } from '../storage/Types.js';
import type { AgentCalls } from './Types.js';

/** Bounds of one call, so that a silent agent or store is asked again before the deadline. */
const STATUS_TIMEOUT_MS = 500;
const STORE_TIMEOUT_MS = 1000;

/** Pause before an unreachable holder is asked again. */
const ASK_AGAIN_MS = 100;

/**
 * What a claim held by another attempt means for this request.
 * - `output`: the work was done; this is its output (JSON text).
 * - `join`: the holder has the attempt; its result must be taken from there.
 * - `replace`: the holder did not run and never will; a new attempt may replace the claim.
 * - `unknown`: whether the work was done can't be learned.
 */
export type ClaimVerdict =
  | { readonly kind: 'output'; readonly output: string }
  | { readonly kind: 'join'; readonly claim: Claim }
  | { readonly kind: 'replace'; readonly claim: Claim }
  | { readonly kind: 'unknown'; readonly message: string };

/** A claim to settle. */
export interface ClaimDispute {
  /** Row as the refusing agent saw it. */
  readonly claim: Claim;
  readonly account: string;
  readonly idempotencyKey: string;
  readonly stage: string;
  /** Fires when the request is abandoned. */
  readonly signal: AbortSignal;
}

/** What settling claims needs. */
export interface ClaimSettlerOptions {
  readonly agents: Pick<AgentCalls, 'status'>;
  readonly table: TableStore;
  readonly objects: ObjectStore;
}

/** Null: not settled yet; look at the row again. */
type Step = ClaimVerdict | null;

/** Settles claims that another attempt holds, by asking the holder and never by elapsed time. */
export class ClaimSettler {
  private readonly byRowState: Record<
    Claim['state'],
    (dispute: ClaimDispute, claim: Claim) => Promise<Step>
  > = {
    done: (_dispute, claim) => this.readOutput(claim),
    void: async (_dispute, claim) => ({ kind: 'replace', claim }),
    unknown: async () => ({ kind: 'unknown', message: 'the claim row says unknown' }),
    claimed: (dispute, claim) => this.askHolder(dispute, claim),
  };

  constructor(private readonly options: ClaimSettlerOptions) {}

  /**
   * Asks until the claim is settled or the request is abandoned.
   * @param dispute - claim and request
   * @returns what the claim means for the request
   */
  async settle(dispute: ClaimDispute): Promise<ClaimVerdict> {
    let { claim } = dispute;
    while (!dispute.signal.aborted) {
      const step = await this.byRowState[claim.state](dispute, claim);
      if (step) return step;
      await sleep(ASK_AGAIN_MS, undefined, { signal: dispute.signal }).catch(() => undefined);
      claim = (await this.readClaim(dispute))?.claim ?? claim;
    }
    return { kind: 'unknown', message: 'the holder of the claim could not be asked in time' };
  }

  private async readOutput(claim: Claim): Promise<Step> {
    if (claim.output !== undefined) return { kind: 'output', output: claim.output };
    if (claim.outputObject === undefined) return null;
    const options = { timeoutMs: STORE_TIMEOUT_MS };
    const body = await this.options.objects.get(claim.outputObject, options);
    return body.ok && body.value !== null ? { kind: 'output', output: body.value } : null;
  }

  private async askHolder(dispute: ClaimDispute, claim: Claim): Promise<Step> {
    const status = await this.options.agents.status(
      claim.address,
      claim.attemptId,
      STATUS_TIMEOUT_MS,
    );
    // A holder that gives no answer may be paused and act later, so the claim stays with it.
    if (!status) return null;
    if (status.incarnation !== claim.incarnation) return this.markUnknown(dispute, claim);
    return verdictOf(status, claim);
  }

  /** The holder's process is gone, and with it the knowledge whether the work was done. */
  private async markUnknown(dispute: ClaimDispute, claim: Claim): Promise<Step> {
    const current = await this.readClaim(dispute);
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

  private async readClaim(dispute: ClaimDispute): Promise<{ claim: Claim; row: Row } | null> {
    const key = claimKey(dispute.account, dispute.idempotencyKey, dispute.stage);
    const options = { timeoutMs: STORE_TIMEOUT_MS };
    const result = await this.options.table.read([{ table: CLAIM_TABLE, key }], options);
    const row = result.ok ? result.value[0] : undefined;
    const parsed = Claim.safeParse(row?.value);
    return row && parsed.success ? { claim: parsed.data, row } : null;
  }
}

/** An attempt that the same incarnation does not know is not joined: it would be run again. */
function verdictOf(status: AttemptStatus, claim: Claim): Step {
  if (status.state === 'unknown') return null;
  return status.state === 'voided' ? { kind: 'replace', claim } : { kind: 'join', claim };
}
