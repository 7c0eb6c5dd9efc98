/** Usage by client account, template and stage, from the ledger rows of the table service. */
import { LEDGER_TABLE, LedgerRow, type LedgerEntry } from '../../common/protocol/Ledger.js';
import { addUsage, type Usage, type UsageClass } from '../../common/protocol/Usage.js';
import { scanTable } from '../client/TableReader.js';
import type { Cluster } from '../launch/Cluster.js';

/** Usage of one account, template and stage. */
export interface StageCost {
  readonly account: string;
  readonly template: string;
  readonly stage: string;
  readonly class: UsageClass;
  readonly usage: Usage;
}

/**
 * Reads all ledger rows; for each agent incarnation, account, template, stage and class the greater
 * of the agent's and the entries' counts holds.
 * @param cluster - running cluster
 * @returns costs, sorted by account, template and stage
 */
export async function readCosts(cluster: Cluster): Promise<StageCost[]> {
  const rows = await readRows(cluster);
  const best = new Map<string, LedgerEntry>();
  const byEntries = sumByWork(rows.filter((row) => row.writer === 'entry'));
  const byAgents = sumByWork(rows.filter((row) => row.writer === 'agent'));
  [...byAgents, ...byEntries].forEach(([work, entry]) => {
    const known = best.get(work);
    if (!known || entry.attempts > known.attempts) best.set(work, entry);
  });
  return sumByStage([...best.values()]);
}

async function readRows(cluster: Cluster): Promise<LedgerRow[]> {
  const rows = await scanTable(cluster.table.address, LEDGER_TABLE, '');
  return rows.map((row) => LedgerRow.parse(row.value));
}

function sumByWork(rows: readonly LedgerRow[]): Map<string, LedgerEntry> {
  const sums = new Map<string, LedgerEntry>();
  rows
    .flatMap((row) => row.entries)
    .forEach((entry) => {
      const { agentIncarnation, account, template, stage } = entry;
      const work = JSON.stringify([agentIncarnation, account, template, stage, entry.class]);
      sums.set(work, mergeEntries(sums.get(work), entry));
    });
  return sums;
}

function mergeEntries(known: LedgerEntry | undefined, entry: LedgerEntry): LedgerEntry {
  if (!known) return entry;
  const usage = addUsage(known.usage, entry.usage);
  return { ...entry, usage, attempts: known.attempts + entry.attempts };
}

function sumByStage(entries: readonly LedgerEntry[]): StageCost[] {
  const costs = new Map<string, StageCost>();
  entries.forEach((entry) => {
    const { account, template, stage } = entry;
    const key = [account, template, stage, entry.class].join(' ');
    const known = costs.get(key);
    const usage = known ? addUsage(known.usage, entry.usage) : entry.usage;
    costs.set(key, { account, template, stage, class: entry.class, usage });
  });
  return [...costs.entries()]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, cost]) => cost);
}
