/**
 * The platform's store turns all calls away for some seconds. Meanwhile the workers of the pool start
 * again one after the other, each under its id and with a newer version of its software.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { attempt, newId } from '../shared-2/client.mjs';
import { configuration, HOST, KEY, streamingRoute } from '../shared-2/configuration.mjs';
import { runCase } from '../shared-2/deployment.mjs';
import { Store } from '../shared-2/store.mjs';
import { Worker } from '../shared-2/worker.mjs';

const DEADLINE_MS = 6000;
const EVENTS = 30;
const GAP_MS = 140;
const STREAMS = 24;

/** Streams that the rule allows to hold events of two versions. */
const ALLOWED = 2;

/** Time between the restarts of two workers, and time for which each one is down. */
const RELEASE_GAP_MS = 700;
const DOWN_MS = 200;

const BUSY_MS = 4500;
const ZONES = ['birmingham', 'nottingham', 'leicester', 'coventry'];

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const store = new Store();
  await store.start();
  store.put('op', 'config', configuration({ routes: [streamingRoute({ attempts: 2, resumable: true })] }));
  const workers = [];
  for (const zone of ZONES)
    workers.push(await new Worker({ store, service: 'pool', zone, deployment, isStreaming: true, gapMs: GAP_MS, events: EVENTS }).start());
  const machines = [
    await deployment.machine('front-1', '127.0.0.1', 'birmingham', store),
    await deployment.machine('front-2', '127.0.0.2', 'nottingham', store),
  ];
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  await sleep(3000);

  const streams = Array.from({ length: STREAMS }, () => ({ id: newId(), versions: new Set(), events: [] }));
  const clients = streams.map(async (stream, index) => {
    const headers = {
      'Citronstage-Attempt-Id': stream.id,
      Authorization: `Token ${KEY}`,
      'Citronstage-Model': 'm',
      'Citronstage-Token-Counts': '2368,90',
      'Citronstage-Prompt-Prefix': `${newId()}:341,${newId()}:227,${newId()}:1800`,
    };
    const onEvent = ({ id, data }) => {
      stream.events.push(id);
      stream.versions.add(data.split(' ')[1]);
    };
    const result = await attempt(machines[index % machines.length].front, {
      host: HOST, path: `/summary/${index}`, headers, body: 'prompt', deadlineMs: DEADLINE_MS, onEvent,
    });
    stream.isWhole = result.status === 200 && result.isComplete;
    deployment.note(`stream ${stream.id}: ${result.status}, ${stream.events.length} events of ${[...stream.versions].join(' and ')}, ${stream.isWhole ? 'whole' : 'broken off'}`);
  });
  await sleep(1000);
  if (hasTrouble) {
    deployment.note('the store turns all calls away');
    store.setBusy(true);
    setTimeout(() => {
      store.setBusy(false);
      deployment.note('the store answers again');
      workers.forEach((worker) => worker.register('ready'));
    }, BUSY_MS);
  }
  for (const worker of workers) {
    await worker.restart('v2', DOWN_MS);
    if (!hasTrouble) worker.register('ready');
    await sleep(RELEASE_GAP_MS - DOWN_MS);
  }
  await Promise.all(clients);
  await sleep(BUSY_MS - workers.length * RELEASE_GAP_MS);
  store.stop();
  const joined = streams.filter(({ versions }) => versions.size > 1);
  deployment.note(`${joined.length} of ${STREAMS} streams hold events of two versions; the rule allows ${ALLOWED}`);
  return joined.length > ALLOWED ? `${joined.length} streams with events of two software versions` : undefined;
});
