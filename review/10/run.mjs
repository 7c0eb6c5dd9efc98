/** A part of prompts crashes each worker that begins to answer a request with it; the prompts have many parts. */
import { setTimeout as sleep } from 'node:timers/promises';
import { attempt, newId } from '../shared-2/client.mjs';
import { configuration, HOST, KEY, streamingRoute } from '../shared-2/configuration.mjs';
import { runCase } from '../shared-2/deployment.mjs';
import { Store } from '../shared-2/store.mjs';
import { Worker } from '../shared-2/worker.mjs';

const CONTACT_MS = 3000;

/** Crash after which the rule begins to count, and requests that it allows from then on. */
const COUNTED_AFTER = 5;
const ALLOWED = 3;

/** Requests with the part, and time between two of them. */
const DEADLY = 18;
const DEADLY_GAP_MS = 1500;
const SOUND_GAP_MS = 100;

/** Parts of a session before the one that crashes workers, and time until the session goes on without it. */
const SESSION_PARTS = Number(process.env.SESSION_PARTS ?? 10);
const NEXT_MS = 700;

const BACK_MS = 3000;
const WORKERS = 13;
const ZONES = ['birmingham', 'nottingham', 'leicester', 'coventry'];

const partId = () => newId().slice(0, 8);

/** False if the case runs without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(import.meta.dirname, async (deployment) => {
  deployment.note(`case starts, ${hasTrouble ? 'with' : 'without'} the disruption`);
  const store = new Store();
  await store.start();
  store.put('op', 'config', configuration({ routes: [streamingRoute()] }));
  const deadlyPart = partId();
  const sharedParts = [partId(), partId()];
  const crashes = [];
  const workers = [];
  for (let index = 0; index < WORKERS; index += 1) {
    const worker = new Worker({
      store,
      service: 'pool',
      zone: ZONES[index % 4],
      deployment,
      isStreaming: true,
      gapMs: 100,
      events: 8,
    });
    const isDeadly = ({ headers }) =>
      headers['citronstage-prompt-prefix']
        .split(',')
        .slice(0, -1)
        .some((part) => part.startsWith(`${deadlyPart}:`));
    worker.isDeadly = isDeadly;
    worker.crashesOn = (request) => hasTrouble && isDeadly(request);
    worker.onCrash = () => {
      if (!worker.server.listening) return;
      crashes.push(performance.now());
      worker.restart('v1', BACK_MS).then(() => worker.register('ready'));
    };
    workers.push(await worker.start());
  }
  const machines = [
    await deployment.machine('front-1', '127.0.0.1', ZONES[0], store),
    await deployment.machine('front-2', '127.0.0.2', ZONES[1], store),
  ];
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
  await sleep(2000);

  const counts = { sound: 0, whole: 0 };
  const send = (index, parts, headers = {}) =>
    attempt(machines[index % 2].front, {
      host: HOST,
      path: `/summary/${index}`,
      headers: {
        'Citronstage-Attempt-Id': newId(),
        Authorization: `Token ${KEY}`,
        'Citronstage-Model': 'm',
        'Citronstage-Token-Counts': '1460,24',
        'Citronstage-Prompt-Prefix': [...parts, partId()].map((id) => `${id}:200`).join(','),
        ...headers,
      },
      body: 'prompt',
      deadlineMs: 6000,
    });
  let isOver = false;
  const sound = (async () => {
    const all = [];
    for (let index = 0; !isOver; index += 1) {
      counts.sound += 1;
      all.push(
        send(index, sharedParts).then(({ status, isComplete }) => {
          counts.whole += status === 200 && isComplete ? 1 : 0;
        }),
      );
      await sleep(SOUND_GAP_MS);
    }
    await Promise.all(all);
  })();
  await sleep(2000);
  const next = { whole: 0 };
  const deadly = [];
  for (let index = 0; index < DEADLY; index += 1) {
    const session = [sharedParts[0], ...Array.from({ length: SESSION_PARTS }, partId)];
    deadly.push(
      send(index, [...session, deadlyPart]).then(({ status }) =>
        deployment.note(
          `request ${index + 1} with the part: ${status}; ${crashes.length} crashes so far`,
        ),
      ),
    );
    await sleep(NEXT_MS);
    deadly.push(
      send(index, session).then(({ status, isComplete }) => {
        next.whole += status === 200 && isComplete ? 1 : 0;
      }),
    );
    await sleep(DEADLY_GAP_MS - NEXT_MS);
  }
  await Promise.all(deadly);
  isOver = true;
  await sound;
  store.stop();
  deployment.note(`${DEADLY} sound requests of the same sessions, ${next.whole} answered whole`);
  deployment.note(
    `${counts.sound} sound requests, ${counts.whole} answered whole; ${crashes.length} crashes`,
  );
  const countedFrom = (crashes[COUNTED_AFTER - 1] ?? Infinity) + CONTACT_MS;
  const late = workers
    .flatMap(({ runs }) => runs)
    .filter(({ at, headers }) => at > countedFrom && workers[0].isDeadly({ headers }));
  deployment.note(
    `${late.length} requests with the part reached workers later than ${CONTACT_MS} ms after the fifth crash; the rule allows ${ALLOWED}`,
  );
  return late.length > ALLOWED
    ? `${late.length} requests with the part reached workers`
    : undefined;
});
