// All machines lose power at once, in the middle of steady traffic of short streams that may be resumed.
// Streams that began in the last second cannot be taken up again, though the store was sound all the time.
import http from 'node:http';
import { HAS_TROUBLE, configuration, runCase, sleep } from '../harness-3.mjs';

const MACHINES = 3;
const WORKERS = 3;
const STREAMS_PER_S = 20;
const EVENTS = 24;
const EVENT_MS = 50;
const TRAFFIC_MS = 12_000;
const DOWN_MS = 1100;
/** Machines are in touch again `contact_ms` (3,000) after their start. */
const CALM_MS = 4000;
const DEADLINE_MS = 15_000;
const NEW_STREAMS = 20;
const MIN_TAKEN_UP = 12;

await runCase(import.meta.url, async ({ record, store, deployment }) => {
  const servers = [];
  const startWorker = async (workerId) => {
    const server = http.createServer(async (request, response) => {
      request.resume();
      const id = request.headers['citronstage-attempt-id'];
      const echo = { 'Citronstage-Attempt-Id': id };
      if (request.headers['citronstage-expect-instance'] !== workerId) {
        response.writeHead(421, { ...echo, 'Citronstage-Not-Executed': '1' }).end();
        return;
      }
      const after = Number(request.headers['last-event-id'] ?? 0);
      record.line(`worker ${workerId} runs ${id}${after > 0 ? ` from event ${after + 1} on` : ''}`);
      await sleep(EVENT_MS);
      response.writeHead(200, { ...echo, 'Citronstage-Response-Seal': `seal.${id}`, 'Content-Type': 'text/event-stream' });
      for (let event = after + 1; event <= EVENTS && !response.destroyed; event += 1) {
        response.write(`id: ${event}\ndata: ${event}\n\n`);
        await sleep(EVENT_MS);
      }
      response.end();
    });
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    const born = Date.now();
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      store.put('servers', workerId, { service: 'pool', addr: `127.0.0.1:${server.address().port}`, zone: 'birmingham', version: 'v1', slots: 48, state: 'ready', cold_left_ms: 0, sequence, born });
    };
    beat();
    const beats = setInterval(beat, 1200);
    servers.push(() => {
      clearInterval(beats);
      server.closeAllConnections();
      server.close();
    });
  };
  for (let number = 1; number <= WORKERS; number += 1) await startWorker(`i-${number}`);
  store.put('op', 'config', configuration({
    routes: [{ name: 'chat', host: 'shop.example', prefix: '/chat/', kind: 'streaming', timeout_ms: DEADLINE_MS, target_latency_ms: 1300, priority: 1, service: 'pool', attempts: 2, public: false, sticky: true, resumable: true, max_gap_ms: 150 }],
    services: [{ name: 'pool', health_path: '/health', max_conns: 310, engine: { slots: 48, kv_tokens: 583197 } }],
  }));
  await deployment.start(MACHINES);

  const running = new Set();
  let count = 0;
  const call = (id, headers) => new Promise((resolve) => {
    count += 1;
    const { ip, front } = deployment.processes[count % MACHINES];
    let text = '';
    let status = 0;
    const request = http.request({ host: ip, port: front, path: '/chat/x', method: 'POST', agent: false, headers: {
      Host: 'shop.example', Authorization: 'Token key-a', 'Citronstage-Attempt-Id': id, 'Citronstage-Model': 'm', 'Citronstage-Token-Counts': '70,72', 'Citronstage-Prompt-Prefix': `a1:50,${(0xf000 + count).toString(16)}:20`, ...headers } });
    running.add(request);
    const end = (how) => {
      running.delete(request);
      const last = Number([...text.matchAll(/id: (\d+)\ndata: \d+\n\n/g)].at(-1)?.[1] ?? 0);
      resolve({ status, isWhole: how === 'whole', last });
    };
    request.on('response', (response) => {
      status = response.statusCode;
      response.on('data', (chunk) => { text += chunk; });
      response.on('end', () => end('whole'));
      response.on('error', () => end('cut'));
    });
    request.on('error', () => end('cut'));
    request.end('hello');
  });

  const cut = [];
  let streams = 0;
  const begin = async () => {
    streams += 1;
    const id = `s${streams}`;
    const startedAt = performance.now();
    const { status, isWhole, last } = await call(id, { 'Citronstage-Deadline-Ms': String(DEADLINE_MS) });
    if (status === 200 && !isWhole && last > 0) cut.push({ id, last, startedAt });
  };
  const traffic = setInterval(begin, 1000 / STREAMS_PER_S);
  await sleep(TRAFFIC_MS);
  clearInterval(traffic);
  const cutAt = performance.now();
  if (HAS_TROUBLE) {
    record.line('all machines lose power');
    deployment.processes.forEach(({ child }) => child.kill('SIGKILL'));
  } else {
    record.line('the connections of all clients break');
    running.forEach((request) => request.destroy());
  }
  await sleep(DOWN_MS);
  if (HAS_TROUBLE) deployment.processes.forEach((each) => deployment.launch(each));
  await Promise.all(deployment.processes.map((each) => deployment.untilReady(each)));
  record.line('all machines are ready');
  await sleep(CALM_MS);

  let goneOn = 0;
  let begun = 0;
  const takeUp = async ({ id, last, startedAt }, index) => {
    await sleep(index * 10);
    const leftMs = Math.floor(DEADLINE_MS - (performance.now() - startedAt));
    const { status } = await call(`${id}-again`, { 'Citronstage-Deadline-Ms': String(leftMs), Resumes: id, 'Last-Event-Id': String(last) });
    record.line(`client takes up ${id} after event ${last}, which began ${Math.round(cutAt - startedAt)} ms before the cut: ${status}`);
    if (status === 200) goneOn += 1;
  };
  const beginNew = async (index) => {
    await sleep(index * 15);
    const { status, isWhole } = await call(`new-${index}`, { 'Citronstage-Deadline-Ms': String(DEADLINE_MS) });
    record.line(`client begins new-${index}: ${status}`);
    if (status === 200 && isWhole) begun += 1;
  };
  await Promise.all([...cut.map(takeUp), ...Array.from({ length: NEW_STREAMS }, (_, index) => beginNew(index))]);
  servers.forEach((stop) => stop());
  const summary = `${cut.length} streams taken up again, ${goneOn} go on; ${begun} of ${NEW_STREAMS} new ones begin`;
  record.line(summary);
  console.log(summary);
  if (cut.length < MIN_TAKEN_UP) throw new Error('too few streams were cut');
  return goneOn / cut.length < begun / NEW_STREAMS / 2 ? [`LOST: ${goneOn} of ${cut.length} streams go on`] : [];
});
