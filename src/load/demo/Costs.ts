/** Usage by client account, template and stage, from the same ledger as the operators' cost report. */
import type { UsageClass, Usage } from '../../common/protocol/Usage.js';
import { readLedger } from '../../ledger/LedgerReader.js';
import { HttpTableStore } from '../../storage/HttpTableStore.js';
import type { Cluster } from '../launch/Cluster.js';

/** Usage of one class (useful or overhead) for one account, template and stage. */
export interface StageCost {
  readonly account: string;
  readonly template: string;
  readonly stage: string;
  readonly class: UsageClass;
  readonly usage: Usage;
}

/**
 * Reads the ledger of a cluster.
 * @param cluster - running cluster
 * @returns costs, sorted by account, template and stage; classes without attempts are omitted
 * @throws Error if the table service does not answer
 */
export async function readCosts(cluster: Cluster): Promise<StageCost[]> {
  const store = new HttpTableStore(`http://${cluster.table.address}`);
  try {
    const counters = await readLedger(store);
    if (!counters.ok) throw new Error(`reading the ledger failed: ${counters.error.kind}`);
    return counters.value.lines().flatMap((line) => {
      const { account, template, stage } = line;
      const classes = [
        { class: 'overhead', usage: line.overhead, attempts: line.overheadAttempts },
        { class: 'useful', usage: line.useful, attempts: line.usefulAttempts },
      ] as const;
      return classes
        .filter(({ attempts }) => attempts > 0)
        .map((part) => ({ account, template, stage, class: part.class, usage: part.usage }));
    });
  } finally {
    await store.close();
  }
}
