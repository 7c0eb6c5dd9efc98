/** Cost by stage, as reported by the policy under test. */
import { setTimeout as sleep } from 'node:timers/promises';
import { readCosts, type StageCost } from '../demo/Costs.js';
import type { Cluster } from '../launch/Cluster.js';
import type { Sample } from './Types.js';

/** Reported accelerator time, in milliseconds. */
export interface ReportedCosts {
  /** Accelerator milliseconds by client account and stage. */
  readonly costByStage: Record<string, Record<string, number>>;
  /** Usage of attempts whose result reached the caller. */
  readonly usefulMs: number;
  readonly overheadMs: number;
}

/** Wait for the acknowledgements and ledger rows of the last requests, in milliseconds. */
const LEDGER_SETTLE_MS = 3000;

/**
 * Reads the costs from the ledger. The naive baseline has no ledger; its costs are the sum of the
 * usage in the results that callers received.
 * @param cluster - running cluster
 * @param samples - requests and answers
 * @returns reported costs
 */
export async function readReportedCosts(
  cluster: Cluster,
  samples: readonly Sample[],
): Promise<ReportedCosts> {
  if (!cluster.isNaive) await sleep(LEDGER_SETTLE_MS);
  const costs = cluster.isNaive ? costsOfResults(samples) : await readCosts(cluster);
  const costByStage: ReportedCosts['costByStage'] = {};
  costs.forEach(({ account, stage, usage }) => {
    const stages = costByStage[account] ?? {};
    stages[stage] = (stages[stage] ?? 0) + Math.round(usage.acceleratorMs);
    costByStage[account] = stages;
  });
  return {
    costByStage,
    usefulMs: sumAcceleratorMs(costs, 'useful'),
    overheadMs: sumAcceleratorMs(costs, 'overhead'),
  };
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

function sumAcceleratorMs(costs: readonly StageCost[], costClass: StageCost['class']): number {
  return costs
    .filter((cost) => cost.class === costClass)
    .reduce((total, cost) => total + cost.usage.acceleratorMs, 0);
}
