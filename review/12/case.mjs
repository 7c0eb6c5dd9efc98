// A crowd of clients without keys sends chunked bodies that stop short of their end, behind heads inside
// the limit. The heads alone exhaust the memory of the processes, and each of them ends by itself.
import http from 'node:http';
import net from 'node:net';
import { HAS_TROUBLE, configuration, runCase, sleep } from '../harness-3.mjs';

const PROCESSES = 2;
/** Connections of the crowd to each process at a time; the process allows 2340. */
const CROWD = 1600;
/** New connections of the crowd to each process in a second. */
const PER_S = 400;
/** Header fields in a head of the crowd, which has fewer bytes than `max_header_bytes` (16,384). */
const FIELDS = 1950;
const ROUNDS = 3;
const ROUND_MS = 20_000;
const RESTART_MS = 500;

/** Head of a request without a key for a path that no route has. */
const HEAD = [
  'POST /nowhere/x HTTP/1.1',
  'Host: shop.example',
  'Transfer-Encoding: chunked',
  ...Array.from({ length: FIELDS }, (_, index) => `${(1296 + index).toString(36)}:${(36 + (index % 1260)).toString(36)}`),
  '\r\n',
].join('\r\n');


await runCase(import.meta.url, async ({ record, store, deployment }) => {
  const worker = http.createServer((request, response) => {
    request.resume();
    const id = request.headers['citronstage-attempt-id'];
    response.writeHead(200, { 'Citronstage-Attempt-Id': id, 'Citronstage-Response-Seal': `seal.${id}`, 'Content-Type': 'text/event-stream' });
    response.end('id: 1\ndata: hello\n\n');
  });
  await new Promise((resolve) => worker.listen(0, '127.0.0.1', resolve));
  store.put('op', 'config', configuration({
    routes: [{ name: 'chat', host: 'shop.example', prefix: '/chat/', kind: 'streaming', timeout_ms: 15000, target_latency_ms: 1300, priority: 2, service: 'pool', attempts: 1, public: false, sticky: true, resumable: false, max_gap_ms: 150 }],
    services: [{ name: 'pool', health_path: '/health', max_conns: 310, engine: { slots: 48, kv_tokens: 583197 } }],
  }));
  store.put('servers', 'i-1', { service: 'pool', addr: `127.0.0.1:${worker.address().port}`, zone: 'birmingham', version: 'v1', slots: 48, state: 'ready', cold_left_ms: 0, sequence: 1, born: Date.now() });
  await deployment.start(PROCESSES);
  record.line(`head of the crowd: ${HEAD.length} bytes`);

  const ordinary = new Map();
  let count = 0;
  const sendOrdinary = () =>
    deployment.processes.forEach(({ name, ip, front }) => {
      count += 1;
      const id = `o${count}`;
      const end = (how) => {
        ordinary.set(how, (ordinary.get(how) ?? 0) + 1);
        record.line(`ordinary client: ${id} at ${name}: ${how}`);
      };
      const request = http.request({ host: ip, port: front, path: '/chat/x', method: 'POST', agent: false, headers: {
        Host: 'shop.example', Authorization: 'Token key-a', 'Citronstage-Attempt-Id': id, 'Citronstage-Deadline-Ms': '15000', 'Citronstage-Model': 'm', 'Citronstage-Token-Counts': '20,10', 'Citronstage-Prompt-Prefix': `a1:10,${count.toString(16)}:10` } }, (response) => {
        response.resume();
        response.on('end', () => end(String(response.statusCode)));
        response.on('error', (error) => end(error.code));
      });
      request.on('error', (error) => end(error.code));
      request.end('hello');
    });

  const ends = new Map(deployment.processes.map(({ name }) => [name, 0]));
  const played = async (each) => {
    for (let round = 1; round <= ROUNDS; round += 1) {
      let hasEnded = false;
      each.child.once('exit', () => {
        hasEnded = true;
      });
      const sockets = new Set();
      let opened = 0;
      const open = () => {
        if (hasEnded || sockets.size >= CROWD) return;
        opened += 1;
        const socket = net.connect(each.front, each.ip);
        sockets.add(socket);
        socket.on('connect', () => socket.write(`${HEAD}5\r\nhello\r\n`));
        socket.on('error', () => undefined);
        socket.on('close', () => sockets.delete(socket));
        socket.resume();
      };
      const timer = HAS_TROUBLE ? setInterval(() => { for (let index = 0; index < PER_S / 20; index += 1) open(); }, 50) : undefined;
      for (let waited = 0; waited < ROUND_MS && !hasEnded; waited += 100) await sleep(100);
      clearInterval(timer);
      record.line(`crowd at ${each.name}, round ${round}: ${sockets.size} connections open, ${opened} opened, process ${hasEnded ? 'has ended' : 'lives'}`);
      sockets.forEach((socket) => socket.destroy());
      if (!hasEnded) return;
      ends.set(each.name, ends.get(each.name) + 1);
      record.line(`${each.name}: ${/FATAL ERROR: [^\n]*/.exec(each.log.join(''))?.[0] ?? 'no message'}`);
      await sleep(RESTART_MS);
      deployment.launch(each);
      record.line(`${each.name} is started again by the platform`);
      await deployment.untilReady(each);
    }
  };
  const traffic = setInterval(sendOrdinary, 500);
  await Promise.all(deployment.processes.map(played));
  clearInterval(traffic);
  await sleep(1000);
  worker.closeAllConnections();
  worker.close();
  console.log(JSON.stringify([...ends]), 'ordinary clients', JSON.stringify([...ordinary]));
  record.line(`${JSON.stringify([...ends])} ordinary clients ${JSON.stringify([...ordinary])}`);
  return [...ends.values()].filter((number) => number >= 3).length >= 2
    ? [`Fault: processes ended by themselves: ${JSON.stringify([...ends])}`]
    : [];
});
