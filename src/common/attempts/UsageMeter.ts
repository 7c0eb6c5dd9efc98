import { monthOf } from '../ledger/UsageCounters.js';
import type { LedgerEntry } from '../protocol/Ledger.js';
import type { UsageClass } from '../protocol/Usage.js';
import type { Clock } from '../time/Types.js';
import type { AttemptRecord } from './AttemptRecord.js';

/** Converts ended attempts to ledger entries. */
export class UsageMeter {
  /**
   * @param agent - id and incarnation of the agent that did the work
   * @param clock - source of the wall-clock time that selects the month
   */
  constructor(
    private readonly agent: { readonly agentId: string; readonly incarnation: string },
    private readonly clock: Clock,
  ) {}

  /**
   * Creates the ledger entry of one attempt.
   * @param record - ended attempt
   * @param usageClass - whether the result reached a caller
   * @returns the ledger entry; null if the attempt has not ended or was refused, so has no usage
   */
  createLedgerEntry(record: AttemptRecord, usageClass: UsageClass): LedgerEntry | null {
    const { outcome } = record.output;
    if (outcome === null || outcome.type === 'refused') return null;
    return {
      agentId: this.agent.agentId,
      agentIncarnation: this.agent.incarnation,
      month: monthOf(this.clock.wallTime()),
      account: record.attempt.account,
      template: record.attempt.template,
      stage: record.attempt.stage,
      class: usageClass,
      usage: outcome.usage,
      attempts: 1,
    };
  }
}
