/**
 * Proof that an accepted configuration change is in force everywhere within 5 s and is never
 * reverted.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { CONFIGURATION_TABLE, Change } from '../../common/protocol/Configuration.js';
import { callOperator } from '../client/OperatorClient.js';
import { scanTable } from '../client/TableClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { FaultName } from './FaultActions.js';
import { FaultInjector } from './FaultInjector.js';
import { MixedLoad } from './MixedLoad.js';
import { RacingOperators } from './RacingOperators.js';
import { restoreCluster } from './Recovery.js';
import { RevisionMonitor } from './RevisionMonitor.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const OPERATORS = 3;
const REQUESTS_PER_SECOND = 4;
const FAULT_INTERVAL_MS = 700;
const POOLS = ['engines', 'retrievers', 'bookings', 'orders'];

/** Time within which a change must be in force, plus one poll, in milliseconds. */
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
  const monitor = new RevisionMonitor(cluster);
  const operators = new RacingOperators(cluster, context.random, (change) => monitor.add(change));
  const load = new MixedLoad(cluster, { perSecond: REQUESTS_PER_SECOND }, context.random);
  const faults = cluster.isNaive ? BASELINE_FAULTS : FAULTS;
  const plan = { faults, pools: POOLS, intervalMs: FAULT_INTERVAL_MS };
  const injector = new FaultInjector(cluster, plan, context.random);
  if (!cluster.isNaive) monitor.start();
  const loading = load.run(context.seconds);
  await injector.injectDuring(() => operators.run(OPERATORS, context.seconds));
  await restoreCluster(cluster);
  await sleep(SETTLE_MS);
  await Promise.all([monitor.stop(), loading]);
  const violations = [...monitor.violations, ...(await checkLog(cluster, operators))];
  if (!cluster.isNaive) violations.push(...(await checkEntries(cluster, operators)));
  return {
    requests: operators.accepted.length + operators.conflicts,
    faults: { ...injector.counts, 'lost-races': cluster.isNaive ? 1 : operators.conflicts },
    violations,
    figures: {
      accepted: operators.accepted.length,
      unsettled: operators.unsettled.length,
      slowestInForceMs: Math.round(monitor.slowestMs),
    },
  };
}

/**
 * Checks that the log contains every accepted change under its own revision, which also shows that
 * no revision was accepted twice.
 */
async function checkLog(cluster: Cluster, operators: RacingOperators): Promise<string[]> {
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

/** Checks that every entry has the newest revision and its account share in force. */
async function checkEntries(cluster: Cluster, operators: RacingOperators): Promise<string[]> {
  const account = cluster.options.deployment.accounts[0]!.id;
  const rows = await scanTable(cluster.table.address, CONFIGURATION_TABLE, 'change/');
  const newest = Change.parse(rows[rows.length - 1]!.value);
  const expectedShare = newest.subject.kind === 'account' ? newest.subject.value.share : undefined;
  if (operators.accepted.length === 0) return ['no change was accepted'];
  const violationsByEntry = cluster.entries.map(async (entry) => {
    const { status, body } = await callOperator(entry.address, 'GET', 'configuration');
    const configuration = body as { revision: number; accounts: { id: string; share: number }[] };
    if (status !== 200) return [`${entry.id}: configuration answered with status ${status}`];
    const share = configuration.accounts.find(({ id }) => id === account)?.share;
    const isMatch = configuration.revision === newest.revision && share === expectedShare;
    return isMatch
      ? []
      : [
          `${entry.id}: expected revision ${newest.revision}, got ${configuration.revision}; expected share ${expectedShare}, got ${share}`,
        ];
  });
  return (await Promise.all(violationsByEntry)).flat();
}
