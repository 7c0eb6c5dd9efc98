/**
 * Measures followers: `node target/src/follower/measure/MeasureFollowers.js --table URL --followers 200`.
 * All followers and the publisher are in this process; the table service is another one. Prints one
 * JSON line: CPU and bytes of idle followers, and the time from publishing to being in force.
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
/** Time for connections to be made before the idle window. */
const WARM_UP_MS = 2000;
/** Longer than a fan-out, shorter than most polls. */
const CHANGE_INTERVAL_MS = 700;

const words = await yargs(process.argv.slice(2))
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

/** Time from the start of publishing to being in force, in ms, of the current change. */
let delays: number[] = [];
const stores: HttpTableStore[] = [];

interface Follower {
  readonly follower: ConfigurationFollower;
  readonly server: Server;
  readonly instance: Instance;
}

async function startFollower(index: number): Promise<Follower> {
  const store = new HttpTableStore(words.table);
  stores.push(store);
  const follower = new ConfigurationFollower({
    store,
    clock,
    random: new SeededRandom(index),
    pollIntervalMs: words.intervalMs,
    peers: () => Promise.resolve([]),
    logger,
  });
  follower.onChange(() => delays.push(clock.now() - publishedAtMs));
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
  // Starts are spread, as those of real processes are.
  await sleep(words.intervalMs / words.followers);
  await follower.start();
  return { follower, server, instance };
}

function bytes(): { received: number; sent: number } {
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
  const before = bytes();
  await sleep(words.idleS * MS_PER_SECOND);
  const used = process.cpuUsage(cpu);
  const after = bytes();
  const share = words.idleS * words.followers;
  return {
    cpuPercentOfCore: ((used.user + used.system) / US_PER_SECOND / share) * PERCENT,
    receivedBytesPerS: (after.received - before.received) / share,
    sentBytesPerS: (after.sent - before.sent) / share,
  };
}

let publishedAtMs = 0;
const followers: Follower[] = [];
for (let index = 0; index < words.followers; index += 1) followers.push(await startFollower(index));
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
for (let change = 0; change < words.changes; change += 1) {
  delays = [];
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
  while (delays.length < words.followers) await sleep(5);
  const used = process.cpuUsage(cpu);
  const sorted = [...delays].sort((left, right) => left - right);
  fanOut.push({
    medianMs: sorted[Math.floor(sorted.length / 2)]!,
    lastMs: sorted.at(-1)!,
    publishMs,
    cpuMs: (used.user + used.system) / MS_PER_SECOND,
  });
  await sleep(CHANGE_INTERVAL_MS);
}
// The first change makes the connections.
const warm = fanOut.slice(1);
const round = (value: number): number => Math.round(value * 100) / 100;
const mean = (field: 'medianMs' | 'lastMs' | 'publishMs' | 'cpuMs'): number =>
  round(warm.reduce((sum, item) => sum + item[field], 0) / warm.length);
const line = {
  followers: words.followers,
  intervalMs: words.intervalMs,
  ...Object.fromEntries(Object.entries(idle).map(([name, value]) => [name, round(value)])),
  firstChangeLastMs: round(fanOut[0]!.lastMs),
  publishMs: mean('publishMs'),
  medianInForceMs: mean('medianMs'),
  lastInForceMs: mean('lastMs'),
  worstInForceMs: round(Math.max(...fanOut.map((item) => item.lastMs))),
  cpuMsPerNotice: round(mean('cpuMs') / words.followers),
};
process.stdout.write(`${JSON.stringify(line)}\n`);
for (const { follower, server } of followers) {
  follower.dispose();
  server.closeAllConnections();
  server.close();
}
process.exit(0);
