/** Proof that a request refused with outcome "not-run" has not run. */
import type { RunRecord } from '../../standin/Faults.js';
import type { Cluster } from '../launch/Cluster.js';
import type { FaultName } from './FaultActions.js';
import { FaultInjector } from './FaultInjector.js';
import { MixedLoad, allRuns, nameOf, type RequestRecord } from './MixedLoad.js';
import { restoreCluster } from './Recovery.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

/** About 1.5 times the capacity of the small deployment, so that requests are refused. */
const REQUESTS_PER_SECOND = 40;

const FAULT_INTERVAL_MS = 500;

/** Every n-th request has the short timeout. */
const SHORT_TIMEOUT_INTERVAL = 5;
const SHORT_TIMEOUT_MS = 150;

const POOLS = ['engines', 'retrievers', 'bookings', 'orders'];

const FAULTS: readonly FaultName[] = [
  'kill-agent',
  'freeze-agent',
  'silent-connections',
  'cut-connections',
  'table-outage',
  'table-lost-answers',
  'server-errors',
  'server-lost-answers',
  'server-slow',
];

const BASELINE_FAULTS: readonly FaultName[] = [
  'silent-connections',
  'cut-connections',
  'server-errors',
  'server-lost-answers',
  'server-slow',
];

export const TRUE_REFUSAL: Proof = {
  description: 'no request refused as "not-run" appears in the runs of the backend servers',
  run: (context) => withCluster(context, {}, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  let requests = 0;
  const load = new MixedLoad(
    cluster,
    {
      perSecond: REQUESTS_PER_SECOND,
      timeoutMs: (deadlineMs) => {
        requests += 1;
        return requests % SHORT_TIMEOUT_INTERVAL === 0 ? SHORT_TIMEOUT_MS : deadlineMs;
      },
    },
    context.random,
  );
  const faults = cluster.isNaive ? BASELINE_FAULTS : FAULTS;
  const plan = { faults, pools: POOLS, intervalMs: FAULT_INTERVAL_MS };
  const injector = new FaultInjector(cluster, plan, context.random);
  await injector.injectDuring(() => load.run(context.seconds));
  await restoreCluster(cluster);
  return evaluate(load.records, await allRuns(cluster), injector.counts);
}

function evaluate(
  records: readonly RequestRecord[],
  runs: readonly RunRecord[],
  faults: Record<string, number>,
): ProofOutcome {
  const requestsRun = new Set(runs.map((run) => run.requestId));
  const keysRun = new Set(runs.map((run) => `${run.account}/${run.idempotencyKey}`));
  const hasRun = ({ account, token, isKeyed, answer }: RequestRecord): boolean =>
    (isKeyed && keysRun.has(`${account.id}/${token}`)) ||
    (answer.kind === 'error' && requestsRun.has(answer.error.requestId ?? ''));
  const refused = records.filter((record) => outcomeOf(record) === 'not-run');
  const unknown = records.filter((record) => outcomeOf(record) === 'unknown');
  const violations = refused
    .filter(hasRun)
    .map((record) => `${nameOf(record)}: refused as not run, but it ran`);
  const figures = {
    refused: refused.length,
    results: records.filter(({ answer }) => answer.kind === 'result').length,
    broken: records.filter(({ answer }) => answer.kind === 'broken').length,
    unknown: unknown.length,
    avoidableUnknown: unknown.filter((record) => !hasRun(record)).length,
    unidentified: refused.filter((record) => !isIdentified(record)).length,
  };
  return { requests: records.length, faults, violations, figures };
}

function outcomeOf({ answer }: RequestRecord): string | undefined {
  return answer.kind === 'error' ? answer.error.outcome : undefined;
}

/** Whether a refusal can be matched with runs of the backend servers. */
function isIdentified({ answer, isKeyed }: RequestRecord): boolean {
  return isKeyed || (answer.kind === 'error' && answer.error.requestId !== undefined);
}
