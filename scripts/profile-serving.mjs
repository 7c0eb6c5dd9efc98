// Profiles serving processes under a steady load of staged streams and plain requests, against the
// stand-ins of this repository. Prints the processor time of each request and the functions and
// modules that it is spent in. Arguments: requests per second, seconds, processes.
import { readdirSync, readFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { Launcher } from '../target/src/load/launch/Launcher.js';
import { findFreePorts, LOOPBACK } from '../target/src/load/launch/Ports.js';
import { BackendServerStandin } from '../target/platform/testing/BackendServerStandin.js';
import { createWireConfiguration, waitUntil } from '../target/platform/testing/ServingFixture.js';
import { StoreStandin } from '../target/platform/testing/StoreStandin.js';
import { CONFIGURATION_KEY, Header, TableName } from '../target/platform/WireNames.js';

const [RATE = 90, SECONDS = 20, PROCESSES = 3] = process.argv.slice(2).map(Number);
const WARM_UP_MS = 5000;
const SERVERS = { pool: 13, plain: 3, fetch: 4, rank: 4, store: 5 };
const EVENTS_PER_STREAM = 26;
const SHOWN_ROWS = 70;
const MICROSECONDS_PER_MS = 1000;

const folder = await mkdtemp(join(tmpdir(), 'citronstage-profile-'));
const launcher = await Launcher.create();
const store = new StoreStandin();
const storeAddress = await store.start();
const servers = [];

/** Kinds of requests with their share of the load, like those of a deployment with three stages. */
let KINDS = [
  { share: 0.36, path: '/stream/draft/1', pieces: '1,6,16', body: 'x'.repeat(18_000) },
  { share: 0.26, path: '/stream/note/1', pieces: '1,6,16', body: 'x'.repeat(4700) },
  { share: 0.12, path: '/stream/ask/1', pieces: '1', body: 'x'.repeat(1400) },
  { share: 0.19, path: '/claim/1', body: 'x'.repeat(300) },
  { share: 0.07, path: '/read/1' },
];

function configuration() {
  const { routes, services, ...rest } = createWireConfiguration();
  const stages = [
    { service: 'fetch', after: [], bytes: 8000 },
    { service: 'rank', after: [0], bytes: 60_000 },
    { service: 'store', after: [1], bytes: 6000 },
  ];
  const common = { host: 'shop.example', timeout_ms: 6000, target_latency_ms: 1300, public: false };
  const stream = { ...common, kind: 'streaming', service: 'pool', sticky: true, max_gap_ms: 150 };
  const pieces = {
    slots: 1,
    queue: 2,
    call_ms: 150,
    headroom_mb: 60,
    handle_s: 4,
    link_mbps: 10000,
  };
  return {
    ...rest,
    limits: { ...rest.limits, max_body_bytes: 200_000 },
    routes: [
      { ...stream, name: 'draft', prefix: '/stream/draft/', attempts: 1, priority: 1, stages },
      {
        ...stream,
        name: 'note',
        prefix: '/stream/note/',
        attempts: 2,
        priority: 0,
        resumable: true,
        stages,
      },
      {
        ...stream,
        name: 'ask',
        prefix: '/stream/ask/',
        attempts: 1,
        priority: 2,
        stages: [stages[0]],
      },
      {
        ...common,
        name: 'claim',
        prefix: '/claim/',
        kind: 'unsafe',
        service: 'plain',
        attempts: 1,
        priority: 1,
      },
      {
        ...common,
        name: 'read',
        prefix: '/read/',
        kind: 'safe',
        service: 'plain',
        attempts: 2,
        priority: 1,
      },
    ],
    services: [
      { name: 'pool', max_conns: 290, engine: { slots: 48, kv_tokens: 600_000 } },
      { name: 'plain', max_conns: 96 },
      { name: 'fetch', max_conns: 290, pieces: { ...pieces, batch: 10, item_ms: 13 } },
      { name: 'rank', max_conns: 290, pieces: { ...pieces, batch: 45, item_ms: 2.9 } },
      { name: 'store', max_conns: 290, pieces: { ...pieces, batch: 94, item_ms: 1.3 } },
    ],
  };
}

store.put(TableName.operator, CONFIGURATION_KEY, configuration());
let count = 0;
for (const [service, number] of Object.entries(SERVERS)) {
  for (let index = 0; index < number; index += 1) {
    const server = new BackendServerStandin(`${service}-${index}`);
    // A stage call takes 200 ms, an event of a stream 20 ms.
    server.serviceTimeMs = ['pool', 'plain'].includes(service) ? 20 : 200;
    server.eventsPerStream = EVENTS_PER_STREAM;
    servers.push(server);
    count += 1;
    const row = {
      service,
      addr: await server.start(),
      zone: ['a', 'b', 'c'][index % 3],
      slots: 48,
    };
    store.put(TableName.servers, server.id, { ...row, state: 'ready', sequence: count, born: 1 });
  }
}

const processes = [];
for (let index = 0; index < PROCESSES; index += 1) {
  const [callers, readiness, ...internalPorts] = await findFreePorts(4);
  const id = `front-${index + 1}`;
  const settings = {
    id,
    ip: LOOPBACK,
    failureDomain: ['a', 'b', 'c'][index % 3],
    listen: { callers: `${LOOPBACK}:${callers}`, readiness: `${LOOPBACK}:${readiness}` },
    internalPorts,
    store: storeAddress,
    instance: { coreShare: 0.5, cores: 1, linkMbps: 1000 },
    servers: { drainMs: 2000, heartbeatMs: 1200 },
    shutdown: { graceSeconds: 4 },
    retryBudget: { ratio: 0.2, slack: 50, windowSeconds: 10 },
  };
  const child = await launcher.define(
    id,
    '../../platform/citronstage-serve',
    settings,
    [],
    [
      '--cpu-prof',
      `--cpu-prof-dir=${folder}`,
      `--cpu-prof-name=${id}.cpuprofile`,
      '--max-old-space-size=160',
      '--max-semi-space-size=4',
    ],
  );
  child.startWithoutWaiting();
  const ready = async () => {
    try {
      const { statusCode, body } = await request(`http://${LOOPBACK}:${readiness}/ready`);
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  };
  await waitUntil(ready, 20_000);
  processes.push({ child, callers: `${LOOPBACK}:${callers}` });
}

/** @returns processor time that the process has used, in ms */
function processorMs({ child }) {
  const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1].split(' ');
  return (Number(fields[11]) + Number(fields[12])) * 10;
}

if (process.env.ONLY)
  KINDS = KINDS.filter(({ path }) => path.includes(process.env.ONLY)).map((k) => ({
    ...k,
    share: 1,
  }));
if (process.env.NOSTAGES)
  KINDS = KINDS.map((k) => ({ ...k, ...(k.pieces && { pieces: '0,0,0' }) }));
const agent = new Agent({ connections: 200 });
const statuses = {};
let sent = 0;
let parts = 0;
async function send(kind, to) {
  sent += 1;
  parts += 1;
  const headers = {
    host: 'shop.example',
    [Header.attemptId]: sent.toString(16).padStart(16, '0'),
    [Header.authorization]: 'Token key-1',
    [Header.deadline]: '6000',
    ...(kind.pieces && {
      [Header.pieceCounts]: kind.pieces,
      [Header.pieceKey]: `${sent}`,
      [Header.promptParts]: `a${sent % 4}:2520,b${sent % 500}:3780,c${parts}:2890`,
    }),
  };
  const options = kind.body ? { method: 'POST', body: kind.body } : {};
  const response = await request(`http://${to}${kind.path}`, {
    ...options,
    headers,
    dispatcher: agent,
  });
  await response.body.dump({ limit: Infinity });
  statuses[response.statusCode] = (statuses[response.statusCode] ?? 0) + 1;
}

const startedAt = performance.now();
let measuredFrom;
let sentBefore = 0;
const pending = [];
for (let index = 0; ; index += 1) {
  const elapsed = performance.now() - startedAt;
  if (!measuredFrom && elapsed >= WARM_UP_MS) {
    measuredFrom = processes.map(processorMs);
    sentBefore = sent;
  }
  if (elapsed >= WARM_UP_MS + SECONDS * 1000) break;
  let point = (index * 0.618034) % 1;
  const kind = KINDS.find(({ share }) => (point -= share) < 0) ?? KINDS[0];
  pending.push(
    send(kind, processes[index % PROCESSES].callers).catch((error) => {
      statuses[error.code] = (statuses[error.code] ?? 0) + 1;
    }),
  );
  const nextAt = startedAt + ((index + 1) * 1000) / RATE;
  await sleep(Math.max(0, nextAt - performance.now()));
}
const used = processes.map((each, index) => processorMs(each) - measuredFrom[index]);
const measured = sent - sentBefore;
const total = used.reduce((sum, value) => sum + value, 0);
await Promise.all(pending);
process.stdout.write(`statuses ${JSON.stringify(statuses)}\n`);
process.stdout.write(
  `processor time ${(total / measured).toFixed(2)} ms a request; by process, in ms a second: ${used.map((value) => Math.round(value / SECONDS)).join(', ')}\n`,
);
processes.forEach(({ child }) => child.signal('SIGTERM'));
await waitUntil(() => processes.every(({ child }) => !child.isRunning), 20_000);

const selfByFunction = new Map();
const selfByModule = new Map();
const totalByFunction = new Map();
const byOwnFunction = new Map();
const add = (map, key, value) => map.set(key, (map.get(key) ?? 0) + value);
let busy = 0;
for (const file of readdirSync(folder)) {
  const { nodes, samples, timeDeltas, startTime } = JSON.parse(
    readFileSync(join(folder, file), 'utf8'),
  );
  const parents = new Map();
  nodes.forEach(({ id, children = [] }) => children.forEach((child) => parents.set(child, id)));
  const byId = new Map(nodes.map((node) => [node.id, node.callFrame]));
  const moduleOf = ({ url, functionName }) =>
    url.replace(/^.*\/(target|node_modules)\//, '') || functionName;
  const labelOf = (frame) =>
    `${frame.functionName || '(anonymous)'} ${basename(moduleOf(frame))}:${frame.lineNumber + 1}`;
  let at = startTime;
  samples.forEach((id, index) => {
    at += timeDeltas[index];
    const frame = byId.get(id);
    // The start of the process and the warm-up are not part of the steady state.
    if (frame.functionName === '(idle)' || at - startTime < WARM_UP_MS * MICROSECONDS_PER_MS)
      return;
    const ms = timeDeltas[index] / MICROSECONDS_PER_MS;
    busy += ms;
    add(selfByFunction, labelOf(frame), ms);
    add(selfByModule, moduleOf(frame), ms);
    const labels = new Set();
    let own;
    for (let node = id; node !== undefined; node = parents.get(node)) {
      labels.add(labelOf(byId.get(node)));
      if (byId.get(node).url.includes('/target/')) own ??= labelOf(byId.get(node));
    }
    add(byOwnFunction, own ?? `(${labelOf(frame)})`, ms);
    labels.forEach((label) => add(totalByFunction, label, ms));
  });
}
const print = (title, map) => {
  process.stdout.write(`${title}\n`);
  [...map]
    .sort(([, left], [, right]) => right - left)
    .slice(0, SHOWN_ROWS)
    .forEach(([key, ms]) =>
      process.stdout.write(`${((100 * ms) / busy).toFixed(1).padStart(6)} %  ${key}\n`),
    );
};
print('time by function, with what it calls', totalByFunction);
print(
  'time by function of this repository, with the library functions that it calls',
  byOwnFunction,
);
print('self time by function', selfByFunction);
print('self time by module', selfByModule);
await agent.close();
await launcher.dispose();
servers.forEach((server) => server.stop());
store.stop();
await rm(folder, { recursive: true });
