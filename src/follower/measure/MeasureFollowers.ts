/**
 * Measures configuration followers:
 * `node target/src/follower/measure/MeasureFollowers.js --table URL --followers 200`.
 * All followers and the publisher run in this process, the table service in another one. Prints one
 * JSON line: CPU and network traffic of idle followers, and the time from publishing a change to
 * having it in force.
 */
import { subscribe } from 'node:diagnostics_channel';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import yargs from 'yargs';
import type { EntryControl } from '../../common/protocol/Control.js';
import type { Instance } from '../../common/protocol/Membership.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { createEntryRouter } from '../../entry/EntryRouter.js';
import { HttpTableStore } from '../../storage/HttpTableStore.js';
import { SystemClock } from '../../storage/SystemClock.js';
import { createLogger } from '../../telemetry/Logger.js';
import { ConfigurationFollower } from '../ConfigurationFollower.js';
import { ConfigurationPublisher } from '../ConfigurationPublisher.js';
import { MembershipNotifier } from '../MembershipNotifier.js';

const MS_PER_SECOND = 1000;
const US_PER_SECOND = 1_000_000;
const PERCENT = 100;
/** Time to open connections before the idle window. */
const WARM_UP_MS = 2000;
/** Pause between changes: longer than a fan-out, shorter than most poll intervals. */
const CHANGE_INTERVAL_MS = 700;

const argv = await yargs(process.argv.slice(2))
  .option('table', { type: 'string', demandOption: true, describe: 'URL of the table service' })
  .option('followers', { type: 'number', default: 100 })
  .option('interval-ms', { type: 'number', default: 1000, describe: 'Poll interval' })
  .option('idle-s', { type: 'number', default: 10, describe: 'Length of the idle window' })
  .option('changes', { type: 'number', default: 8 })
  .strict()
  .parseAsync();

const clock = new SystemClock();
const logger = createLogger('measure', 'error');
const sockets = new Set<Socket>();
subscribe('undici:client:connected', (message) => {
  sockets.add((message as { socket: Socket }).socket);
});

/** Time from the start of publishing the current change to being in force, for each follower. */
let inForceDelaysMs: number[] = [];
const stores: HttpTableStore[] = [];

interface Follower {
  readonly follower: ConfigurationFollower;
  readonly server: Server;
  readonly instance: Instance;
}

async function startFollower(index: number): Promise<Follower> {
  const store = new HttpTableStore(argv.table);
  stores.push(store);
  const follower = new ConfigurationFollower({
    store,
    clock,
    random: new SeededRandom(index),
    pollIntervalMs: argv.intervalMs,
    peers: () => Promise.resolve([]),
    logger,
  });
  follower.onChange(() => inForceDelaysMs.push(clock.now() - publishedAtMs));
  const control = { configuration: follower } as unknown as EntryControl;
  const handler = createHTTPHandler({ router: createEntryRouter(control), basePath: '/trpc/' });
  const server = createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const instance: Instance = {
    ...{ id: `f${index}`, role: 'entry', address: `127.0.0.1:${port}`, state: 'live' },
    ...{ failureDomain: 'd1', region: 'default' },
  };
  // Starts are spread over one poll interval, as are those of real processes.
  await sleep(argv.intervalMs / argv.followers);
  await follower.start();
  return { follower, server, instance };
}

function countTransferredBytes(): { received: number; sent: number } {
  let received = 0;
  let sent = 0;
  for (const socket of sockets) {
    received += socket.bytesRead;
    sent += socket.bytesWritten;
  }
  return { received, sent };
}

async function measureIdle() {
  await sleep(WARM_UP_MS);
  const cpu = process.cpuUsage();
  const before = countTransferredBytes();
  await sleep(argv.idleS * MS_PER_SECOND);
  const used = process.cpuUsage(cpu);
  const after = countTransferredBytes();
  const followerSeconds = argv.idleS * argv.followers;
  return {
    cpuPercentOfCore: ((used.user + used.system) / US_PER_SECOND / followerSeconds) * PERCENT,
    receivedBytesPerS: (after.received - before.received) / followerSeconds,
    sentBytesPerS: (after.sent - before.sent) / followerSeconds,
  };
}

let publishedAtMs = 0;
const followers: Follower[] = [];
for (let index = 0; index < argv.followers; index += 1) followers.push(await startFollower(index));
const idle = await measureIdle();

const publisherSource = followers[0]!.follower;
const notifier = new MembershipNotifier({
  ownId: 'f0',
  membership: { list: async () => ({ ok: true, value: followers.map((item) => item.instance) }) },
  internalToken: 'token-of-measurement',
  logger,
});
const publisher = new ConfigurationPublisher({
  ...{ store: stores[0]!, clock, source: publisherSource, notifier, logger },
});
const fanOut: { medianMs: number; lastMs: number; publishMs: number; cpuMs: number }[] = [];
for (let change = 0; change < argv.changes; change += 1) {
  inForceDelaysMs = [];
  publishedAtMs = clock.now();
  const cpu = process.cpuUsage();
  const result = await publisher.publish({
    expectedRevision: publisherSource.snapshot().revision,
    changeId: `measure-${process.pid}-${change}`,
    author: 'measure',
    subject: { kind: 'server', value: { id: `s${change}`, draining: false } },
  });
  const publishMs = clock.now() - publishedAtMs;
  if (!result.ok) throw new Error(JSON.stringify(result.error));
  while (inForceDelaysMs.length < argv.followers) await sleep(5);
  const used = process.cpuUsage(cpu);
  const sorted = [...inForceDelaysMs].sort((left, right) => left - right);
  fanOut.push({
    medianMs: sorted[Math.floor(sorted.length / 2)]!,
    lastMs: sorted.at(-1)!,
    publishMs,
    cpuMs: (used.user + used.system) / MS_PER_SECOND,
  });
  await sleep(CHANGE_INTERVAL_MS);
}
// The first change also opens the connections, so it is left out of the means.
const warmChanges = fanOut.slice(1);
const round = (value: number): number => Math.round(value * 100) / 100;
const mean = (field: 'medianMs' | 'lastMs' | 'publishMs' | 'cpuMs'): number =>
  round(warmChanges.reduce((sum, item) => sum + item[field], 0) / warmChanges.length);
const report = {
  followers: argv.followers,
  intervalMs: argv.intervalMs,
  ...Object.fromEntries(Object.entries(idle).map(([name, value]) => [name, round(value)])),
  firstChangeLastMs: round(fanOut[0]!.lastMs),
  publishMs: mean('publishMs'),
  medianInForceMs: mean('medianMs'),
  lastInForceMs: mean('lastMs'),
  worstInForceMs: round(Math.max(...fanOut.map((item) => item.lastMs))),
  cpuMsPerNotice: round(mean('cpuMs') / argv.followers),
};
process.stdout.write(`${JSON.stringify(report)}\n`);
for (const { follower, server } of followers) {
  follower.dispose();
  server.closeAllConnections();
  server.close();
}
process.exit(0);
