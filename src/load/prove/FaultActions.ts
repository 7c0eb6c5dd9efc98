/** Faults by name. Each action injects one fault, takes it back and tells how often it happened. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { z } from 'zod';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import { Faults } from '../../standin/Faults.js';
import type { StandinClient } from '../client/StandinClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { ManagedProcess } from '../launch/ManagedProcess.js';
import type { AgentInstance, BackendServer } from '../launch/Types.js';

/** What an action works on. */
export interface FaultTarget {
  readonly cluster: Cluster;
  readonly random: SeededRandom;
  readonly pools: readonly string[];
}

type FaultAction = (target: FaultTarget) => Promise<number>;

const REPLACEMENT_DELAY_MS = 200;
const SHORT_MS = 600;
const LONG_MS = 2500;

function pick<T>(random: SeededRandom, items: readonly T[]): T | undefined {
  return items[Math.floor(random.next() * items.length)];
}

function between(random: SeededRandom, low: number, high: number): number {
  return low + random.next() * (high - low);
}

function pickAgent({ cluster, random, pools }: FaultTarget): AgentInstance | undefined {
  return pick(
    random,
    pools.flatMap((pool) => cluster.agentsOf(pool)).filter((agent) => agent.process.running),
  );
}

function pickServer({ cluster, random, pools }: FaultTarget): BackendServer | undefined {
  return pick(
    random,
    pools.flatMap((pool) => cluster.serversOf(pool)),
  );
}

function pickEntry({ cluster, random }: FaultTarget): ManagedProcess | undefined {
  const running = cluster.entries.map((entry) => entry.process).filter((entry) => entry.running);
  // One entry stays in service, as behind the platform's balancer.
  return running.length > 1 || cluster.entries.length === 1 ? pick(random, running) : undefined;
}

async function killAndReplace(child: ManagedProcess | undefined): Promise<number> {
  if (!child?.running) return 0;
  await child.kill();
  await sleep(REPLACEMENT_DELAY_MS);
  child.startUnready();
  return 1;
}

async function freeze(child: ManagedProcess | undefined, durationMs: number): Promise<number> {
  if (!child?.signal('SIGSTOP')) return 0;
  await sleep(durationMs);
  child.signal('SIGCONT');
  return 1;
}

/** Counts the calls that the fault hit; a slow or stale service counts once. */
async function withFaults(
  standin: StandinClient,
  faults: z.input<typeof Faults>,
  durationMs: number,
): Promise<number> {
  const before = await standin.faultCount();
  await standin.setFaults(faults);
  await sleep(durationMs);
  const healthy = Object.entries(Faults.parse({})).filter(([name]) => name in faults);
  await standin.setFaults(Object.fromEntries(healthy));
  const isSlowness = ['delayMs', 'slowFactor', 'staleReadMs'].some((name) => name in faults);
  return isSlowness ? 1 : (await standin.faultCount()) - before;
}

function tableFault(faults: z.input<typeof Faults>): FaultAction {
  return ({ cluster, random }) =>
    withFaults(cluster.table, faults, between(random, SHORT_MS, LONG_MS));
}

function serverFault(faults: z.input<typeof Faults>): FaultAction {
  return async (target) => {
    const server = pickServer(target);
    if (!server) return 0;
    return withFaults(server.control, faults, between(target.random, SHORT_MS, LONG_MS));
  };
}

/** Tries for a while, because two connections of one relay must be in use at a moment. */
async function crossAnswers({ cluster }: FaultTarget): Promise<number> {
  const giveUpAt = Date.now() + SHORT_MS;
  let crossed = 0;
  while (crossed === 0 && Date.now() < giveUpAt) {
    crossed = cluster.dataRelays.reduce((total, relay) => total + relay.cross(), 0);
    await sleep(2);
  }
  return crossed;
}

async function repeatFrames({ cluster }: FaultTarget): Promise<number> {
  const count = (): number => cluster.dataRelays.reduce((sum, relay) => sum + relay.repeated, 0);
  const before = count();
  cluster.dataRelays.forEach((relay) => Object.assign(relay, { repeating: true }));
  await sleep(SHORT_MS);
  cluster.dataRelays.forEach((relay) => Object.assign(relay, { repeating: false }));
  return count() - before;
}

/** An entry and an agent are replaced while the store is down. */
async function startDuringOutage(target: FaultTarget): Promise<number> {
  const { table } = target.cluster;
  await table.setFaults({ outage: true });
  const replaced = await Promise.all([
    killAndReplace(pickEntry(target)),
    killAndReplace(pickAgent(target)?.process),
  ]);
  await sleep(LONG_MS);
  await table.setFaults({ outage: false });
  return Math.min(...replaced);
}

/** Hits all servers of the pools, so that some calls are hit in a short time. */
function everyServerFault(faults: z.input<typeof Faults>): FaultAction {
  return async ({ cluster, pools, random }) => {
    const servers = pools.flatMap((pool) => cluster.serversOf(pool));
    const durationMs = between(random, SHORT_MS, LONG_MS);
    const hits = servers.map((server) => withFaults(server.control, faults, durationMs));
    return (await Promise.all(hits)).reduce((total, count) => total + count, 0);
  };
}

/** What each fault does. */
export const FAULT_ACTIONS = {
  'kill-agent': (target) => killAndReplace(pickAgent(target)?.process),
  'kill-entry': (target) => killAndReplace(pickEntry(target)),
  'freeze-agent': (target) =>
    freeze(pickAgent(target)?.process, between(target.random, SHORT_MS, LONG_MS)),
  'freeze-entry': (target) => freeze(pickEntry(target), between(target.random, SHORT_MS, LONG_MS)),
  'silent-connections': async ({ cluster }) =>
    cluster.dataRelays.reduce((total, relay) => total + relay.silence(), 0),
  'cut-connections': async ({ cluster }) =>
    cluster.dataRelays.reduce((total, relay) => total + relay.cutAll(), 0),
  'crossed-answers': crossAnswers,
  'repeated-frames': repeatFrames,
  'silent-table-connections': async ({ cluster }) => cluster.tableRelay?.silence() ?? 0,
  'table-lost-answers': tableFault({ lostAnswerShare: 0.4 }),
  'table-outage': tableFault({ outage: true }),
  'table-stale-reads': tableFault({ staleReadMs: 3000 }),
  'table-outage-with-start': startDuringOutage,
  'table-slow': tableFault({ delayMs: 150 }),
  'server-lost-answers': everyServerFault({ lostAnswerShare: 0.2 }),
  'server-errors': everyServerFault({ errorShare: 0.2 }),
  'server-slow': serverFault({ slowFactor: 6 }),
  'server-truncates': everyServerFault({ truncatedShare: 0.2 }),
  'server-outage': serverFault({ outage: true }),
} as const satisfies Record<string, FaultAction>;

/** Name of a fault. */
export type FaultName = keyof typeof FAULT_ACTIONS;
