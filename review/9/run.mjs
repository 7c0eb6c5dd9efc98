/**
 * The workers get a newer version of their software. Some time after the last of the older ones has left,
 * a machine loses power, and clients take up its streams at the others.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { attempt, newId } from '../shared-2/client.mjs';
import { configuration, HOST, KEY, streamingRoute } from '../shared-2/configuration.mjs';
import { runCase } from '../shared-2/deployment.mjs';
import { Store } from '../shared-2/store.mjs';
import { Worker } from '../shared-2/worker.mjs';

const DEADLINE_MS = 6000;
const STREAMS = 16;

/** Fewest streams taken up of which the rule speaks. */
const MIN_TAKE_UPS = 12;

/** Time from the end of the release until the streams begin, and until the machine loses power. */
const CALM_MS = Number(process.env.CALM_MS ?? 13_500);
const STREAMING_MS = 1500;

const ZONES = ['birmingham', 'nottingham', 'leicester'];

/** Zones of the machines, as on the site. */
const MACHINE_ZONES = ['birmingham', 'birmingham', 'nottingham', 'leicester', 'coventry'];

/** False if the case runs without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(import.meta.dirname, async (deployment) => {
  deployment.note(`case starts, ${hasTrouble ? 'with' : 'without'} the disruption`);
  const store = new Store();
  await store.start();
  store.put(
    'op',
    'config',
    configuration({ routes: [streamingRoute({ attempts: 2, resumable: true })] }),
  );
  const addWorkers = (version) =>
    Promise.all(
      ZONES.map((zone) =>
        new Worker({
          store,
          service: 'pool',
          zone,
          version,
          deployment,
          isStreaming: true,
          gapMs: 130,
          events: 25,
        }).start(),
      ),
    );
  const older = await addWorkers('v1');
  const machines = [];
  for (const [index, zone] of MACHINE_ZONES.entries())
    machines.push(
      await deployment.machine(`front-${index + 1}`, `127.0.0.${index + 1}`, zone, store),
    );
  const [first, ...others] = machines;
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  await sleep(3000);

  await addWorkers('v2');
  await sleep(1000);
  older.forEach((worker) => worker.register('draining'));
  await sleep(2500);
  older.forEach((worker) => worker.leave());
  deployment.note('the release has ended');
  await sleep(CALM_MS);

  const send = (machine, id, extra, deadlineMs, onEvent) => {
    const headers = {
      'Citronstage-Attempt-Id': id,
      Authorization: `Token ${KEY}`,
      'Citronstage-Model': 'm',
      'Citronstage-Token-Counts': '2368,75',
      'Citronstage-Prompt-Prefix': `${newId()}:341,${newId()}:227,${newId()}:1800`,
      ...extra,
    };
    return attempt(machine.front, {
      host: HOST,
      path: '/summary/1',
      headers,
      body: 'prompt',
      deadlineMs,
      onEvent,
    });
  };
  const counts = { takenUp: 0, wentOn: 0, begun: 0, asked: 0 };
  const clients = Array.from({ length: STREAMS }, async (_, index) => {
    const startedAt = performance.now();
    const leftMs = () => DEADLINE_MS - (performance.now() - startedAt);
    const id = newId();
    let last = 0;
    const onEvent = (event) => {
      last = event.id;
    };
    const { status, isComplete } = await send(first, id, {}, leftMs(), onEvent);
    if (status === 200 && isComplete) return;
    // The client takes the stream up at another machine, and comes back once as it is told.
    for (let retry = 0; retry < 2 && leftMs() > 500; retry += 1) {
      const from = last;
      const result = await send(
        others[(index + retry) % others.length],
        newId(),
        { Resumes: id, 'Last-Event-Id': String(from) },
        leftMs(),
        onEvent,
      );
      const goesOn = result.status === 200 && last > from;
      counts.takenUp += 1;
      counts.wentOn += goesOn ? 1 : 0;
      deployment.note(
        `stream ${id} taken up after event ${from}: ${result.status}, ` +
          (goesOn ? `goes on to event ${last}` : `does not go on: ${result.text.trim()}`),
      );
      if (goesOn) return;
      await sleep(
        Math.max(0, Math.min(Number(result.headers['retry-after'] ?? 0.5) * 1000, leftMs() / 3)),
      );
    }
  });
  await sleep(STREAMING_MS);
  if (hasTrouble) first.signal('SIGKILL');
  const fresh = Array.from({ length: STREAMS }, async (_, index) => {
    const { status, events } = await send(others[index % others.length], newId(), {}, DEADLINE_MS);
    counts.asked += 1;
    counts.begun += status === 200 && events.length > 0 ? 1 : 0;
  });
  await Promise.all([...clients, ...fresh]);
  store.stop();
  deployment.note(
    `${counts.takenUp} take-ups, ${counts.wentOn} went on; ${counts.asked} new streams, ${counts.begun} began`,
  );
  if (counts.takenUp === 0) return undefined;
  if (counts.takenUp < MIN_TAKE_UPS) throw new Error('too few streams were taken up');
  const isUnderHalf = counts.wentOn / counts.takenUp < counts.begun / counts.asked / 2;
  return isUnderHalf
    ? 'the share of the streams that go on is under half of that of new streams'
    : undefined;
});
