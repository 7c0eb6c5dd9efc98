/**
 * During a release some of the older workers crash before they have begun their streams, which then begin at
 * newer ones. Soon all machines lose power, and clients take up the streams.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { attempt, newId } from '../shared-2/client.mjs';
import { configuration, HOST, KEY, streamingRoute } from '../shared-2/configuration.mjs';
import { runCase } from '../shared-2/deployment.mjs';
import { Store } from '../shared-2/store.mjs';
import { Worker } from '../shared-2/worker.mjs';

const DEADLINE_MS = 6000;
const STREAMS = 48;

/** Streams that the rule allows to hold events of two versions. */
const ALLOWED = 2;

/** Streams that begin before, one a second at each machine. */
const EARLIER = 10;
const EARLIER_GAP_MS = 1030;

/** Time from the last of these until the others begin, and from then until some of the older workers crash. */
const BEGIN_MS = 850;
const CRASH_MS = 200;

/** Time until a worker begins a stream. */
const FIRST_MS = 400;

/** Time from the crash until all machines lose power. */
const POWER_MS = 900;

const RESTART_MS = 500;
const ZONES = ['birmingham', 'nottingham', 'leicester', 'coventry'];

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const store = new Store();
  await store.start();
  store.put('op', 'config', configuration({ routes: [streamingRoute({ attempts: 2, resumable: true })] }));
  const add = (version, index) =>
    new Worker({
      store, service: 'pool', zone: ZONES[index % 4], version, deployment, isStreaming: true, gapMs: 130, events: 30, firstMs: FIRST_MS,
    }).start();
  const older = [];
  for (let index = 0; index < 4; index += 1) older.push(await add('v1', index));
  for (let index = 0; index < 4; index += 1) await add('v2', index);
  const machines = [
    await deployment.machine('front-1', '127.0.0.1', ZONES[0], store),
    await deployment.machine('front-2', '127.0.0.2', ZONES[1], store),
  ];
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  await sleep(2000);

  const send = (machine, id, extra, deadlineMs, onEvent) => {
    const headers = {
      'Citronstage-Attempt-Id': id,
      Authorization: `Token ${KEY}`,
      'Citronstage-Model': 'm',
      'Citronstage-Token-Counts': '2368,90',
      'Citronstage-Prompt-Prefix': `${newId()}:341,${newId()}:227,${newId()}:1800`,
      ...extra,
    };
    return attempt(machine.front, { host: HOST, path: '/summary/1', headers, body: 'prompt', deadlineMs, onEvent });
  };
  for (let index = 0; index < EARLIER; index += 1) {
    machines.forEach((machine) => send(machine, newId(), {}, DEADLINE_MS));
    await sleep(index < EARLIER - 1 ? EARLIER_GAP_MS : BEGIN_MS);
  }
  const machineInRotation = async (preferred, leftMs) => {
    while (leftMs() > 500) {
      if (preferred.isRunning && (await preferred.isReady())) return preferred;
      await sleep(100);
    }
    return undefined;
  };
  const streams = Array.from({ length: STREAMS }, (_, index) => ({ index, id: newId(), versions: new Set(), last: 0 }));
  const clients = streams.map(async (stream) => {
    const startedAt = performance.now();
    const leftMs = () => DEADLINE_MS - (performance.now() - startedAt);
    const onEvent = ({ id, data }) => {
      stream.last = id;
      stream.versions.add(data.split(' ')[1]);
    };
    const first = await send(machines[stream.index % 2], stream.id, {}, leftMs(), onEvent);
    if (first.status === 200 && first.isComplete) return;
    for (let retry = 0; retry < 2 && leftMs() > 500; retry += 1) {
      const machine = await machineInRotation(machines[(stream.index + 1 + retry) % 2], leftMs);
      if (!machine) return;
      const from = stream.last;
      const extra = from > 0 ? { Resumes: stream.id, 'Last-Event-Id': String(from) } : {};
      const result = await send(machine, newId(), extra, leftMs(), onEvent);
      deployment.note(`stream ${stream.id} taken up after event ${from} at ${machine.name}: ${result.status}, event ${stream.last}, of ${[...stream.versions].join(' and ')} ${result.status === 200 ? '' : result.text.trim()}`);
      if (result.status === 200) return;
      await sleep(Math.max(0, Math.min(Number(result.headers['retry-after'] ?? 0.5) * 1000, leftMs() / 3)));
    }
  });
  await sleep(CRASH_MS);
  if (hasTrouble) {
    older.slice(0, 2).forEach((worker) => {
      worker.stop();
      deployment.note(`worker ${worker.id} (v1) crashes with ${worker.running} requests`);
    });
    await sleep(POWER_MS);
    machines.forEach((machine) => machine.signal('SIGKILL'));
    await Promise.all(machines.map(({ exited }) => exited));
    await sleep(RESTART_MS);
    machines.forEach((machine) => machine.start());
  }
  await Promise.all(clients);
  store.stop();
  const joined = streams.filter(({ versions }) => versions.size > 1);
  deployment.note(`${joined.length} of ${STREAMS} streams hold events of two versions; the rule allows ${ALLOWED}`);
  return joined.length > ALLOWED ? `${joined.length} streams with events of two software versions` : undefined;
});
