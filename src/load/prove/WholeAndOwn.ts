/** Proof that a caller gets the complete correct answer to its own request, or an error. */
import { findAnswerError } from '../client/AnswerCheck.js';
import type { Cluster } from '../launch/Cluster.js';
import type { FaultName } from './FaultActions.js';
import { FaultInjector } from './FaultInjector.js';
import { MixedLoad, nameOf } from './MixedLoad.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const REQUESTS_PER_SECOND = 15;
const FAULT_INTERVAL_MS = 400;
const POOLS = ['engines', 'retrievers', 'rerankers', 'orders'];

const FAULTS: readonly FaultName[] = [
  'silent-connections',
  'cut-connections',
  'crossed-answers',
  'repeated-frames',
  'server-truncates',
  'server-slow',
  'server-lost-answers',
  'freeze-agent',
  'kill-agent',
];

const BASELINE_FAULTS: readonly FaultName[] = [
  'silent-connections',
  'cut-connections',
  'crossed-answers',
  'repeated-frames',
  'server-truncates',
  'server-slow',
  'server-lost-answers',
];

export const WHOLE_AND_OWN: Proof = {
  description: 'each caller gets the complete correct answer to its own request, or an error',
  run: (context) => withCluster(context, {}, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const load = new MixedLoad(cluster, { perSecond: REQUESTS_PER_SECOND }, context.random);
  const faults = cluster.isNaive ? BASELINE_FAULTS : FAULTS;
  const plan = { faults, pools: POOLS, intervalMs: FAULT_INTERVAL_MS };
  const injector = new FaultInjector(cluster, plan, context.random);
  await injector.injectDuring(() => load.run(context.seconds));
  const violations = load.records.flatMap((record) => {
    const fault = findAnswerError(record.traffic.template, record.input, record.answer);
    return fault === undefined ? [] : [`${nameOf(record)}: ${fault}`];
  });
  const results = load.records.filter(({ answer }) => answer.kind === 'result').length;
  const streamed = load.records.filter(({ answer }) => answer.chunks.length > 0).length;
  return {
    requests: load.records.length,
    faults: injector.counts,
    violations,
    figures: { results, streamed },
  };
}
