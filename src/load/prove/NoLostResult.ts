/**
 * Proof that no stage result is lost when connections between entries and agents break or go
 * silent.
 */
import type { RunRecord } from '../../standin/Faults.js';
import { findAnswerError } from '../client/AnswerCheck.js';
import type { Cluster } from '../launch/Cluster.js';
import type { FaultName } from './FaultActions.js';
import { FaultInjector } from './FaultInjector.js';
import { MixedLoad, allRuns, nameOf } from './MixedLoad.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const REQUESTS_PER_SECOND = 8;

/** Longer than an entry needs to detect a silent connection, so that a request can recover. */
const FAULT_INTERVAL_MS = 1600;

const FAULTS: readonly FaultName[] = ['silent-connections', 'cut-connections'];

export const NO_LOST_RESULT: Proof = {
  description: 'results are fetched over new connections; a broken connection causes no second run',
  run: (context) =>
    // A hedge is an intended second run. Without hedges, every second run shows a lost result.
    withCluster(context, { entry: { policy: { hedging: false } } }, (cluster) =>
      prove(context, cluster),
    ),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const load = new MixedLoad(cluster, { perSecond: REQUESTS_PER_SECOND }, context.random);
  const plan = { faults: FAULTS, pools: [], intervalMs: FAULT_INTERVAL_MS };
  const injector = new FaultInjector(cluster, plan, context.random);
  await injector.injectDuring(() => load.run(context.seconds));
  const runs = await allRuns(cluster);
  const violations = [
    ...load.records.flatMap((record) => {
      const { answer, traffic, input } = record;
      const fault = findAnswerError(traffic.template, input, answer);
      if (fault !== undefined) return [`${nameOf(record)}: ${fault}`];
      if (answer.kind === 'error') return [`${nameOf(record)}: ${answer.error.message}`];
      return answer.kind === 'broken' ? [`${nameOf(record)}: ${answer.message}`] : [];
    }),
    ...duplicateRuns(runs),
  ];
  const figures = { runs: runs.length };
  return { requests: load.records.length, faults: injector.counts, violations, figures };
}

/** Returns a violation for each stage that ran more than once for one request. */
function duplicateRuns(runs: readonly RunRecord[]): string[] {
  const counts = new Map<string, number>();
  runs.forEach((run) => {
    const stage = `${run.operation} of request ${run.requestId}`;
    counts.set(stage, (counts.get(stage) ?? 0) + 1);
  });
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([stage, count]) => `${stage}: ran ${count} times`);
}
