/**
 * The whole system is stopped with SIGTERM and started again, and the workers get a newer version of
 * their software while it is down. Clients take up the streams that the stop has cut off.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { attempt, newId } from '../shared-2/client.mjs';
import { configuration, HOST, KEY, streamingRoute } from '../shared-2/configuration.mjs';
import { runCase } from '../shared-2/deployment.mjs';
import { Store } from '../shared-2/store.mjs';
import { Worker } from '../shared-2/worker.mjs';

/** Figures of `stock-note` and of the machines of the site. */
const DEADLINE_MS = 15_064;
const ROUTE = {
  name: 'stock-note',
  prefix: '/stock-note/',
  timeout_ms: 15_000,
  target_latency_ms: 1506,
  priority: 2,
  attempts: 2,
  resumable: true,
  max_gap_ms: 400,
};
const TIMES = { gapMs: 220, events: 56, isStreaming: true, slots: 64 };
const SITE = {
  limits: { cpu_share: 0.5, memory_mb: 250, max_fds: 4100, link_mbps: 140 },
  bounds: { drain_ms: 3000, budget_slack: 102 },
};

const ZONES = ['bergen-a', 'bergen-b', 'bergen-c'];
const MACHINES = Number(process.env.MACHINES ?? 2);
const STREAMS = 12;

/** Streams that the rule allows to hold events of two versions. */
const ALLOWED = 2;

/** Time until the platform starts an ended process again. */
const RESTART_MS = 500;

/** False if the case runs without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(import.meta.dirname, async (deployment) => {
  deployment.note(`case starts, ${hasTrouble ? 'with' : 'without'} the disruption`);
  const store = new Store();
  await store.start();
  store.put('op', 'config', configuration({ routes: [streamingRoute(ROUTE)] }));
  const addWorkers = (version) =>
    Promise.all(
      ZONES.map((zone) =>
        new Worker({ store, service: 'pool', zone, version, deployment, ...TIMES }).start(),
      ),
    );
  const older = await addWorkers('v1');
  const machines = [];
  for (let index = 0; index < MACHINES; index += 1)
    machines.push(
      await deployment.machine(
        `front-${index + 1}`,
        `127.0.0.${index + 1}`,
        ZONES[index],
        store,
        SITE,
      ),
    );
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  await sleep(3000);

  const startedAt = performance.now();
  const leftMs = () => DEADLINE_MS - (performance.now() - startedAt);
  const streams = Array.from({ length: STREAMS }, (_, index) => ({
    index,
    id: newId(),
    versions: new Set(),
    last: 0,
    isWhole: false,
  }));
  const send = async (stream, machine, id, extra = {}) => {
    const headers = {
      'Citronstage-Attempt-Id': id,
      Authorization: `Token ${KEY}`,
      'Citronstage-Model': 'm',
      'Citronstage-Token-Counts': '715,280',
      'Citronstage-Prompt-Prefix': `5c1e07a2:172,${newId()}:543`,
      ...extra,
    };
    const onEvent = ({ id: event, data }) => {
      stream.last = event;
      stream.versions.add(data.split(' ')[1]);
    };
    const path = `/stock-note/${stream.index}`;
    const result = await attempt(machine.front, {
      host: HOST,
      path,
      headers,
      body: 'prompt',
      deadlineMs: leftMs(),
      onEvent,
    });
    stream.isWhole = result.status === 200 && result.isComplete;
    return result;
  };
  /** Machine to which the platform forwards a new connection; waits while none is in rotation. */
  const machineInRotation = async () => {
    while (leftMs() > 1000) {
      for (const machine of machines)
        if (machine.isRunning && (await machine.isReady())) return machine;
      await sleep(200);
    }
    return undefined;
  };
  const client = async (stream) => {
    const first = await send(stream, machines[stream.index % machines.length], stream.id);
    deployment.note(
      `stream ${stream.id}: ${first.status}, ${stream.last} events, ${stream.isWhole ? 'whole' : 'broken off'}`,
    );
    for (let retry = 0; retry < 3 && !stream.isWhole; retry += 1) {
      const machine = await machineInRotation();
      if (!machine) return;
      const from = stream.last;
      const result = await send(stream, machine, newId(), {
        Resumes: stream.id,
        'Last-Event-Id': String(from),
      });
      deployment.note(
        `stream ${stream.id} taken up after event ${from} at ${machine.name}: ${result.status}, ${stream.last} events, ${stream.isWhole ? 'whole' : 'not whole'}`,
      );
      const retryAfterMs = Number(result.headers['retry-after'] ?? 0.5) * 1000;
      if (!stream.isWhole) await sleep(Math.max(0, Math.min(retryAfterMs, leftMs() / 3)));
    }
  };
  const clients = Promise.all(streams.map(client));

  await sleep(1000);
  older.forEach((worker) => worker.register('draining'));
  if (hasTrouble) {
    machines.forEach((machine) => machine.signal('SIGTERM'));
    await Promise.all(machines.map(({ exited }) => exited));
  } else await clients;
  older.forEach((worker) => worker.leave());
  await addWorkers('v2');
  if (hasTrouble) {
    await sleep(RESTART_MS);
    machines.forEach((machine) => machine.start());
  }
  await clients;
  store.stop();
  const joined = streams.filter(({ versions }) => versions.size > 1);
  joined.forEach(({ id, versions }) =>
    deployment.note(`stream ${id} holds events of ${[...versions].join(' and ')}`),
  );
  deployment.note(
    `${joined.length} of ${STREAMS} streams hold events of two versions; the rule allows ${ALLOWED}`,
  );
  return joined.length > ALLOWED
    ? `${joined.length} streams with events of two software versions`
    : undefined;
});
