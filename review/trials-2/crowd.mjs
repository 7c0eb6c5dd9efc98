/** Clients that the operator does not control list as many parts of a prompt as the limit of the head allows. */
import { setTimeout as sleep } from 'node:timers/promises';
import { attempt, newId } from '../shared-2/client.mjs';
import { configuration, HOST, KEY, safeRoute, streamingRoute } from '../shared-2/configuration.mjs';
import { runCase } from '../shared-2/deployment.mjs';
import { Store } from '../shared-2/store.mjs';
import { Worker } from '../shared-2/worker.mjs';

/** Clients at each machine. */
const CROWD = 1000;

/** `max_header_bytes`, of which a part is left to the other lines of the head. */
const HEADER_BYTES = 16_384;
const OTHER_BYTES = 700;

const ROUNDS = 3;
const ENDS = 3;
const MACHINES = 2;
const RESTART_MS = 500;
const ZONES = ['birmingham', 'nottingham', 'leicester', 'coventry'];

/** Workers of `citron-pool`; each takes 48 requests at once and queues 100. */
const WORKERS = 13;
const TAKES = 148;

/** Parts of one token each, as many as fit. */
function longPrompt() {
  const parts = [];
  let bytes = 0;
  for (let index = 1; bytes < HEADER_BYTES - OTHER_BYTES; index += 1) {
    const part = `${index.toString(16)}:1`;
    bytes += part.length + 1;
    parts.push(part);
  }
  return parts.slice(0, -1).join(',');
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const store = new Store();
  await store.start();
  store.put('op', 'config', configuration({ routes: [streamingRoute(), safeRoute] }));
  const common = { store, deployment };
  for (let index = 0; index < WORKERS; index += 1) {
    const zone = ZONES[index % ZONES.length];
    await new Worker({ ...common, service: 'pool', zone, slots: TAKES, isStreaming: true, firstMs: 1500, gapMs: 100 }).start();
  }
  await new Worker({ ...common, service: 'desk', zone: ZONES[0], slots: 6 }).start();
  const machines = [];
  for (let index = 0; index < MACHINES; index += 1)
    machines.push(await deployment.machine(`front-${index + 1}`, `127.0.0.${index + 1}`, ZONES[index], store));
  const ends = new Map(machines.map((machine) => [machine, 0]));
  let isOver = false;
  const run = async (machine) => {
    while (!isOver) {
      machine.start();
      const { code, signal } = await machine.exited;
      if (isOver) return;
      ends.set(machine, ends.get(machine) + 1);
      const reason = /FATAL ERROR: .*/.exec(machine.log())?.[0] ?? `status ${code}, signal ${signal}`;
      deployment.note(`${machine.name} has ended by itself: ${reason}`);
      await sleep(RESTART_MS);
    }
  };
  const runs = machines.map(run);
  const prompt = hasTrouble ? longPrompt() : '5c1e07a2:800,91bd3f06:410,e4402b7d:250';
  deployment.note(`a prompt lists ${prompt.split(',').length} parts in ${prompt.length} bytes`);
  const headers = (extra = {}) => ({ 'Citronstage-Attempt-Id': newId(), Authorization: `Token ${KEY}`, ...extra });
  for (let round = 1; round <= ROUNDS; round += 1) {
    await Promise.all(machines.map((machine) => machine.waitUntilReady(30_000)));
    await sleep(1500);
    const statuses = {};
    const crowd = Array.from({ length: CROWD * MACHINES }, async (_, index) => {
      const { status } = await attempt(machines[index % MACHINES].front, {
        host: HOST,
        path: `/summary/${index}`,
        headers: headers({ 'Citronstage-Model': 'm', 'Citronstage-Token-Counts': '1460,24', 'Citronstage-Prompt-Prefix': prompt }),
        body: 'prompt',
        deadlineMs: 6000,
      });
      statuses[status] = (statuses[status] ?? 0) + 1;
    });
    await Promise.all(crowd);
    const peaks = machines.map((machine) => machine.memoryMb().peak).join(', ');
    deployment.note(`round ${round}: answers by status ${JSON.stringify(statuses)} (0: none); peak memory ${peaks} MB`);
  }
  isOver = true;
  machines.forEach((machine) => machine.isRunning && machine.child.kill('SIGKILL'));
  await Promise.all(runs);
  store.stop();
  machines.forEach((machine) => deployment.note(`${machine.name} ended by itself ${ends.get(machine)} times`));
  const often = [...ends.values()].filter((count) => count >= ENDS).length;
  return often >= MACHINES ? `the processes of ${often} machines ended by themselves ${ENDS} times or more` : undefined;
});
