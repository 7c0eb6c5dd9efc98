/** Promise 7: an accepted configuration takes effect everywhere within 5 s and never reverts. */
import { setTimeout as sleep } from 'node:timers/promises';
import { CONFIGURATION_TABLE, Change } from '../../common/protocol/Configuration.js';
import { callOperator } from '../client/OperatorClient.js';
import { scanTable } from '../client/TableReader.js';
import type { Cluster } from '../launch/Cluster.js';
import type { FaultName } from './FaultActions.js';
import { FaultInjector } from './FaultInjector.js';
import { MixedLoad } from './MixedLoad.js';
import { RacingOperators } from './RacingOperators.js';
import { heal } from './Recovery.js';
import { RevisionWatch } from './RevisionWatch.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const OPERATORS = 3;
const REQUESTS_PER_SECOND = 4;
const FAULT_INTERVAL_MS = 700;
const POOLS = ['engines', 'retrievers', 'bookings', 'orders'];

/** Bound of the promise and one poll. */
const SETTLE_MS = 5500;

const FAULTS: readonly FaultName[] = [
  'table-lost-answers',
  'table-stale-reads',
  'table-outage-with-start',
  'freeze-entry',
  'freeze-agent',
  'kill-entry',
  'kill-agent',
];

const BASELINE_FAULTS: readonly FaultName[] = ['table-lost-answers', 'table-stale-reads'];

export const CONFIGURATION: Proof = {
  description: 'accepted changes are in force everywhere within 5 s and never revert',
  run: (context) => withCluster(context, {}, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const watch = new RevisionWatch(cluster);
  const operators = new RacingOperators(cluster, context.random, (change) => watch.add(change));
  const load = new MixedLoad(cluster, { perSecond: REQUESTS_PER_SECOND }, context.random);
  const faults = cluster.naive ? BASELINE_FAULTS : FAULTS;
  const plan = { faults, pools: POOLS, intervalMs: FAULT_INTERVAL_MS };
  const injector = new FaultInjector(cluster, plan, context.random);
  if (!cluster.naive) watch.start();
  const loading = load.run(context.seconds);
  await injector.during(() => operators.run(OPERATORS, context.seconds));
  await heal(cluster);
  await sleep(SETTLE_MS);
  await Promise.all([watch.stop(), loading]);
  const violations = [...watch.violations, ...(await judgeLog(cluster, operators))];
  if (!cluster.naive) violations.push(...(await judgeEntries(cluster, operators)));
  return {
    requests: operators.accepted.length + operators.conflicts,
    faults: { ...injector.counts, 'lost-races': cluster.naive ? 1 : operators.conflicts },
    violations,
    figures: {
      accepted: operators.accepted.length,
      unsettled: operators.unsettled.length,
      slowestInForceMs: Math.round(watch.slowestMs),
    },
  };
}

/** Every accepted change must be in the log under its revision, and no revision is accepted twice. */
async function judgeLog(cluster: Cluster, operators: RacingOperators): Promise<string[]> {
  const rows = await scanTable(cluster.table.address, CONFIGURATION_TABLE, 'change/');
  const log = new Map(
    rows.map((row) => {
      const change = Change.parse(row.value);
      return [change.revision, change.changeId] as const;
    }),
  );
  return operators.accepted.flatMap(({ revision, changeId }) =>
    log.get(revision) === changeId
      ? []
      : [`accepted change ${changeId} is not revision ${revision}`],
  );
}

/** The last accepted change of the account must be what every entry has in force. */
async function judgeEntries(cluster: Cluster, operators: RacingOperators): Promise<string[]> {
  const account = cluster.options.deployment.accounts[0]!.id;
  const rows = await scanTable(cluster.table.address, CONFIGURATION_TABLE, 'change/');
  const newest = Change.parse(rows[rows.length - 1]!.value);
  const wanted = newest.subject.kind === 'account' ? newest.subject.value.share : undefined;
  if (operators.accepted.length === 0) return ['no change was accepted'];
  const found = cluster.entries.map(async (entry) => {
    const { status, body } = await callOperator(entry.address, 'GET', 'configuration');
    const reply = body as { revision: number; accounts: { id: string; share: number }[] };
    if (status !== 200) return [`${entry.id}: configuration answered with status ${status}`];
    const share = reply.accounts.find(({ id }) => id === account)?.share;
    const isRight = reply.revision === newest.revision && share === wanted;
    return isRight ? [] : [`${entry.id}: has revision ${reply.revision}, share ${share}`];
  });
  return (await Promise.all(found)).flat();
}
