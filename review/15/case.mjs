// All workers of a service fall silent for two seconds and go on, several times, while some clients
// leave early. An unsafe request whose client has left is still sent to one worker after the other.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, configuration, runCase, sleep } from '../harness-3.mjs';

const WORKERS = 4;
const WINDOWS = 8;
const DARK_MS = 2000;
const CALM_MS = 4000;
const PER_S = 16;
const LEAVE_SHARE = 0.3;
const LEAVE_AFTER_MS = 50;
/** The rule counts requests that reach a worker later than this after the client has left. */
const LATE_MS = 500;
/** "More than a few". */
const FEW = 10;

class Worker {
  constructor(id, service, store, onRun) {
    Object.assign(this, { id, service, store, onRun, sequence: 0, born: Date.now(), fillers: [] });
  }

  async start() {
    const script = fileURLToPath(new URL('worker.mjs', import.meta.url));
    this.child = spawn(process.execPath, [script, this.id], { stdio: ['ignore', 'pipe', 'inherit'] });
    process.once('exit', () => this.child.kill('SIGKILL'));
    const lines = createInterface({ input: this.child.stdout });
    const [first] = await once(lines, 'line');
    this.port = JSON.parse(first).port;
    lines.on('line', (line) => this.onRun(JSON.parse(line), this));
    this.beat();
    this.beats = setInterval(() => this.beat(), 1200);
  }

  beat() {
    this.sequence += 1;
    const { service, port, sequence, born } = this;
    this.store.put('servers', this.id, { service, addr: `127.0.0.1:${port}`, zone: 'birmingham', version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, sequence, born });
  }

  /** Stops the process and fills its queue of new connections, so that further ones get no answer. */
  async fallSilent() {
    clearInterval(this.beats);
    this.child.kill('SIGSTOP');
    let isFull = false;
    while (!isFull) {
      const filler = net.connect(this.port, '127.0.0.1');
      filler.on('error', () => undefined);
      this.fillers.push(filler);
      isFull = await Promise.race([once(filler, 'connect').then(() => false), sleep(30).then(() => true)]);
    }
  }

  goOn() {
    this.fillers.forEach((filler) => filler.destroy());
    this.fillers = [];
    this.child.kill('SIGCONT');
    this.beat();
    this.beats = setInterval(() => this.beat(), 1200);
  }

  stop() {
    clearInterval(this.beats);
    this.child.kill('SIGKILL');
  }
}

await runCase(import.meta.url, async ({ record, store, deployment }) => {
  const requests = new Map();
  const late = [];
  const onRun = ({ run, arrivedAt }, { id }) => {
    const request = requests.get(run);
    const afterMs = request?.leftAt === undefined ? undefined : arrivedAt - request.leftAt;
    record.line(`worker ${id} runs ${run}${afterMs === undefined ? '' : `, ${afterMs} ms after its client has left`}`);
    if (afterMs > LATE_MS) late.push({ run, afterMs });
  };
  const workers = Array.from({ length: WORKERS }, (_, index) => new Worker(`i-${index + 1}`, 'desk', store, onRun));
  store.put('op', 'config', configuration({
    routes: [{ name: 'deposit', host: 'shop.example', prefix: '/deposit/', kind: 'unsafe', timeout_ms: 1500, target_latency_ms: 100, priority: 2, service: 'desk', attempts: 1, public: false, sticky: false, resumable: false }],
    services: [{ name: 'desk', health_path: '/health', max_conns: 110 }],
  }));
  await Promise.all(workers.map((worker) => worker.start()));
  await deployment.start(2);
  let count = 0;
  const answers = new Map();
  const send = () => {
    count += 1;
    const id = `d${count}`;
    const { ip, front } = deployment.processes[count % deployment.processes.length];
    const state = { leftAt: undefined };
    requests.set(id, state);
    record.line(`client sends ${id}`);
    const end = (text) => {
      clearTimeout(state.timer);
      answers.set(text, (answers.get(text) ?? 0) + 1);
      record.line(`client: ${id} ${text}`);
    };
    const request = http.request({ host: ip, port: front, path: '/deposit/x', method: 'POST', agent: false, headers: {
      Host: 'shop.example', Authorization: 'Token key-a', 'Citronstage-Attempt-Id': id, 'Citronstage-Deadline-Ms': '1500', 'Content-Length': 7 } }, (response) => {
      response.resume();
      response.on('end', () => end(String(response.statusCode)));
      response.on('error', (error) => end(error.code));
    });
    request.on('error', (error) => end(state.leftAt === undefined ? error.code : 'left'));
    request.end('deposit');
    // Three of ten clients leave, evenly.
    if ((count * LEAVE_SHARE) % 1 < LEAVE_SHARE) {
      state.timer = setTimeout(() => {
        state.leftAt = Date.now();
        request.destroy();
      }, LEAVE_AFTER_MS);
    }
  };
  const traffic = setInterval(send, 1000 / PER_S);
  for (let window = 0; window < WINDOWS; window += 1) {
    await sleep(CALM_MS);
    if (HAS_TROUBLE) {
      record.line('all workers fall silent');
      await Promise.all(workers.map((worker) => worker.fallSilent()));
    }
    await sleep(DARK_MS);
    if (HAS_TROUBLE) {
      workers.forEach((worker) => worker.goOn());
      record.line('all workers go on');
    }
  }
  await sleep(CALM_MS);
  clearInterval(traffic);
  await sleep(2000);
  workers.forEach((worker) => worker.stop());
  record.line(`${count} requests: ${JSON.stringify([...answers])}; ${late.length} late`);
  console.log(`${count} requests: ${JSON.stringify([...answers])}; ${late.length} late`);
  return late.length > FEW ? [`GONE: ${late.length} unsafe requests reached a worker over ${LATE_MS} ms after their clients had left, up to ${Math.max(...late.map(({ afterMs }) => afterMs))} ms`] : [];
});
