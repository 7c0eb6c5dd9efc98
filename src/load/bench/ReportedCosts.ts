/** Cost by stage as each policy reports it. */
import { setTimeout as sleep } from 'node:timers/promises';
import { readCosts, type StageCost } from '../demo/Costs.js';
import type { Cluster } from '../launch/Cluster.js';
import type { Sample } from './Types.js';

/** Accelerator milliseconds as reported. */
export interface ReportedCosts {
  /** By client account and stage. */
  readonly costByStage: Record<string, Record<string, number>>;
  readonly usefulMs: number;
  readonly overheadMs: number;
}

/** Time for acknowledgements and ledger rows of the last requests, in milliseconds. */
const LEDGER_SETTLE_MS = 3000;

/**
 * Reads the ledger; the baseline has none, there the usage in the callers' results is summed.
 * @param cluster - running cluster
 * @param samples - requests and answers
 * @returns reported costs
 */
export async function readReportedCosts(
  cluster: Cluster,
  samples: readonly Sample[],
): Promise<ReportedCosts> {
  if (!cluster.naive) await sleep(LEDGER_SETTLE_MS);
  const costs = cluster.naive ? costsOfResults(samples) : await readCosts(cluster);
  const costByStage: ReportedCosts['costByStage'] = {};
  costs.forEach(({ account, stage, usage }) => {
    const stages = costByStage[account] ?? {};
    stages[stage] = (stages[stage] ?? 0) + Math.round(usage.acceleratorMs);
    costByStage[account] = stages;
  });
  return { costByStage, usefulMs: sum(costs, 'useful'), overheadMs: sum(costs, 'overhead') };
}

function costsOfResults(samples: readonly Sample[]): StageCost[] {
  return samples.flatMap(({ arrival, answer }) => {
    if (answer.kind !== 'result') return [];
    const account = arrival.account.id;
    const template = arrival.traffic.template.name;
    return answer.result.stages.map(({ stage, usage }) => ({
      account,
      template,
      stage,
      class: 'useful' as const,
      usage,
    }));
  });
}

function sum(costs: readonly StageCost[], wanted: StageCost['class']): number {
  return costs
    .filter((cost) => cost.class === wanted)
    .reduce((total, cost) => total + cost.usage.acceleratorMs, 0);
}
