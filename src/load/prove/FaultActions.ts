/**
 * Fault actions by name. An action injects a fault, clears it and returns how often it occurred.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { z } from 'zod';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import { Faults } from '../../standin/Faults.js';
import type { StandinClient } from '../client/StandinClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { ManagedProcess } from '../launch/ManagedProcess.js';
import type { AgentInstance, BackendServer } from '../launch/Types.js';

/** Target of a fault action. */
export interface FaultTarget {
  readonly cluster: Cluster;
  readonly random: SeededRandom;
  readonly pools: readonly string[];
}

type FaultAction = (target: FaultTarget) => Promise<number>;

const REPLACEMENT_DELAY_MS = 200;
const MIN_FAULT_MS = 600;
const MAX_FAULT_MS = 2500;

function pick<T>(random: SeededRandom, items: readonly T[]): T | undefined {
  return items[Math.floor(random.next() * items.length)];
}

function uniform(random: SeededRandom, low: number, high: number): number {
  return low + random.next() * (high - low);
}

function pickAgent({ cluster, random, pools }: FaultTarget): AgentInstance | undefined {
  return pick(
    random,
    pools.flatMap((pool) => cluster.agentsOf(pool)).filter((agent) => agent.process.isRunning),
  );
}

function pickServer({ cluster, random, pools }: FaultTarget): BackendServer | undefined {
  return pick(
    random,
    pools.flatMap((pool) => cluster.serversOf(pool)),
  );
}

function pickEntry({ cluster, random }: FaultTarget): ManagedProcess | undefined {
  const running = cluster.entries.map((entry) => entry.process).filter((entry) => entry.isRunning);
  // At least one entry stays in service, as behind the load balancer of the platform.
  return running.length > 1 || cluster.entries.length === 1 ? pick(random, running) : undefined;
}

async function killAndReplace(child: ManagedProcess | undefined): Promise<number> {
  if (!child?.isRunning) return 0;
  await child.kill();
  await sleep(REPLACEMENT_DELAY_MS);
  child.startWithoutWaiting();
  return 1;
}

async function freeze(child: ManagedProcess | undefined, durationMs: number): Promise<number> {
  if (!child?.signal('SIGSTOP')) return 0;
  await sleep(durationMs);
  child.signal('SIGCONT');
  return 1;
}

/**
 * Sets faults of a stand-in for a time.
 * @returns number of calls that the faults hit; 1 for delays and stale reads, which are not counted
 */
async function withFaults(
  standin: StandinClient,
  faults: z.input<typeof Faults>,
  durationMs: number,
): Promise<number> {
  const before = await standin.faultCount();
  await standin.setFaults(faults);
  await sleep(durationMs);
  const defaults = Object.entries(Faults.parse({})).filter(([name]) => name in faults);
  await standin.setFaults(Object.fromEntries(defaults));
  const isContinuous = ['delayMs', 'slowFactor', 'staleReadMs'].some((name) => name in faults);
  return isContinuous ? 1 : (await standin.faultCount()) - before;
}

function tableFault(faults: z.input<typeof Faults>): FaultAction {
  return ({ cluster, random }) =>
    withFaults(cluster.table, faults, uniform(random, MIN_FAULT_MS, MAX_FAULT_MS));
}

function serverFault(faults: z.input<typeof Faults>): FaultAction {
  return async (target) => {
    const server = pickServer(target);
    if (!server) return 0;
    return withFaults(server.control, faults, uniform(target.random, MIN_FAULT_MS, MAX_FAULT_MS));
  };
}

/**
 * Retries for a short time, because two connections of one relay must be in use at the same moment.
 */
async function swapAnswers({ cluster }: FaultTarget): Promise<number> {
  const deadline = Date.now() + MIN_FAULT_MS;
  let swapped = 0;
  while (swapped === 0 && Date.now() < deadline) {
    swapped = cluster.dataRelays.reduce((total, relay) => total + relay.swapAnswers(), 0);
    await sleep(2);
  }
  return swapped;
}

async function duplicateFrames({ cluster }: FaultTarget): Promise<number> {
  const count = (): number =>
    cluster.dataRelays.reduce((sum, relay) => sum + relay.duplicatedFrames, 0);
  const before = count();
  cluster.dataRelays.forEach((relay) => Object.assign(relay, { isDuplicating: true }));
  await sleep(MIN_FAULT_MS);
  cluster.dataRelays.forEach((relay) => Object.assign(relay, { isDuplicating: false }));
  return count() - before;
}

/** Replaces an entry and an agent while the store is down. */
async function startDuringOutage(target: FaultTarget): Promise<number> {
  const { table } = target.cluster;
  await table.setFaults({ outage: true });
  const replaced = await Promise.all([
    killAndReplace(pickEntry(target)),
    killAndReplace(pickAgent(target)?.process),
  ]);
  await sleep(MAX_FAULT_MS);
  await table.setFaults({ outage: false });
  return Math.min(...replaced);
}

/** Applies faults to all servers of the pools, so that they hit some calls even in a short time. */
function everyServerFault(faults: z.input<typeof Faults>): FaultAction {
  return async ({ cluster, pools, random }) => {
    const servers = pools.flatMap((pool) => cluster.serversOf(pool));
    const durationMs = uniform(random, MIN_FAULT_MS, MAX_FAULT_MS);
    const pending = servers.map((server) => withFaults(server.control, faults, durationMs));
    return (await Promise.all(pending)).reduce((total, count) => total + count, 0);
  };
}

/** Fault actions by name of the fault. */
export const FAULT_ACTIONS = {
  'kill-agent': (target) => killAndReplace(pickAgent(target)?.process),
  'kill-entry': (target) => killAndReplace(pickEntry(target)),
  'freeze-agent': (target) =>
    freeze(pickAgent(target)?.process, uniform(target.random, MIN_FAULT_MS, MAX_FAULT_MS)),
  'freeze-entry': (target) =>
    freeze(pickEntry(target), uniform(target.random, MIN_FAULT_MS, MAX_FAULT_MS)),
  'silent-connections': async ({ cluster }) =>
    cluster.dataRelays.reduce((total, relay) => total + relay.silence(), 0),
  'cut-connections': async ({ cluster }) =>
    cluster.dataRelays.reduce((total, relay) => total + relay.cutAll(), 0),
  'crossed-answers': swapAnswers,
  'repeated-frames': duplicateFrames,
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
