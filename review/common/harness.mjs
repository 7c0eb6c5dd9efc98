/**
 * Starts the programs of the deploy file on loopback addresses, and the stand-ins that the review's
 * scripts share: store, backend servers and clients. Uses Node.js only.
 */
import { spawn } from 'node:child_process';
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync, openSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request as httpRequest } from 'node:http';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const hasTrouble = process.env.TROUBLE !== '0';

/** Bounds of the small deployments in force. */
export const BOUNDS = {
  contact_ms: 3000, drain_ms: 2000, grace_s: 8, config_ms: 2000, rollback_slack_ms: 250,
  loss_slack_ms: 200, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 52, recovery_s: 12,
};

/** Writes record.txt in the folder of the case. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.path, `# TROUBLE=${hasTrouble ? 1 : 0}; seconds since the start\n`);
  }

  line(text) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.path, `${at} ${text}\n`);
  }
}

const usedPorts = new Set();

/** @returns a port that is free on the address and was not given out before */
export async function freePort(ip = '127.0.0.1') {
  for (;;) {
    const server = createTcpServer();
    await new Promise((done, fail) => {
      server.once('error', fail);
      server.listen(0, ip, done);
    });
    const { port } = server.address();
    await new Promise((done) => server.close(done));
    if (!usedPorts.has(port)) {
      usedPorts.add(port);
      return port;
    }
  }
}

/** The platform's metadata store: rows of tables, feed and transactions, as PROTOCOL.md has them. */
export class Store {
  rows = new Map();
  version = 0;
  era = 1;
  waiters = new Set();
  onWrite = () => undefined;
  /** Called after each answer to `GET /rows-get`, with the table and the port of the caller. */
  onRead = () => undefined;

  async start() {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  put(table, key, value) {
    const text = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    this.write([{ table, part: '', key, value: text.toString('base64') }], []);
  }

  remove(table, key) {
    this.write([], [{ table, part: '', key }]);
  }

  write(put, remove) {
    this.version += 1;
    const name = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;
    put.forEach((row) => {
      this.rows.delete(name(row));
      this.rows.set(name(row), { part: '', ...row, row_version: this.version });
    });
    remove.forEach((row) => {
      if (!this.rows.has(name(row))) return;
      this.rows.delete(name(row));
      const { table, part = '', key } = row;
      this.rows.set(name(row), { table, part, key, removed: true, row_version: this.version });
    });
    this.onWrite(put, remove);
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((wake) => wake());
  }

  /** @returns a copy of all rows as of now */
  copy() {
    return { rows: new Map(this.rows), version: this.version };
  }

  /** Comes back from a copy: versions go back and the era rises. */
  restore({ rows, version }) {
    this.rows = new Map(rows);
    this.version = version;
    this.era += 1;
    this.waiters.clear();
    this.server.closeAllConnections();
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = (name) => url.searchParams.get(name) ?? '';
    const answer = (status, body) => {
      const text = JSON.stringify({ ...body, row_version: this.version, now_ms: Math.round(performance.now()) });
      response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(this.era) });
      response.end(text);
    };
    if (url.pathname === '/rows-get') {
      const rows = [...this.rows.values()]
        .filter((row) => !row.removed && row.table === query('table') && row.part === query('part'))
        .filter(({ key }) => key >= query('from') && (query('to') === '' || key < query('to')))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      const page = rows.slice(0, Math.min(500, Number(query('limit')) || 500));
      answer(200, { rows: page, has_more: page.length < rows.length });
      this.onRead(query('table'), request.socket.remotePort);
    } else if (url.pathname === '/rows-feed') {
      const after = Number(query('after'));
      const changed = () =>
        [...this.rows.values()]
          .filter((row) => row.table === query('table') && row.row_version > after)
          .sort((left, right) => left.row_version - right.row_version);
      const endsAt = performance.now() + Math.min(30_000, Number(query('wait_ms')));
      while (after <= this.version && changed().length === 0 && performance.now() < endsAt) {
        await new Promise((done) => {
          const wake = () => {
            clearTimeout(timer);
            done();
          };
          const timer = setTimeout(() => {
            this.waiters.delete(wake);
            done();
          }, endsAt - performance.now());
          this.waiters.add(wake);
        });
      }
      if (after > this.version) answer(410, {});
      else answer(200, { rows: changed() });
    } else if (url.pathname === '/rows-tx') {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      const { precondition = [], put = [], remove = [] } = JSON.parse(Buffer.concat(chunks).toString());
      const name = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;
      const current = (row) => {
        const known = this.rows.get(name(row));
        return known && !known.removed ? known : undefined;
      };
      const isForbidden = [...put, ...remove].some(({ table }) => table === 'op' || table === 'servers');
      const isMet = precondition.every((row) => (current(row)?.row_version ?? 0) === row.row_version);
      await sleep(8);
      if (isForbidden) answer(403, {});
      else if (!isMet) answer(412, { rows: precondition.map(current).filter(Boolean) });
      else {
        this.write(put, remove);
        answer(200, {});
      }
    } else response.writeHead(404).end();
  }
}

/** Relay in front of the store, whose open connections can go silent while new ones work. */
export class Relay {
  pairs = new Set();

  constructor(target) {
    [this.host, this.port] = target.split(':');
  }

  async start() {
    this.server = createTcpServer((inner) => {
      if (this.isDown) {
        inner.on('error', () => undefined);
        inner.resetAndDestroy();
        return;
      }
      const outer = connect({ host: this.host, port: Number(this.port) });
      const pair = { inner, outer, isSilent: false };
      this.pairs.add(pair);
      const forward = (from, to) => {
        const pass = (deliver) => (this.held ? this.held.push(deliver) : deliver());
        from.on('data', (chunk) => !pair.isSilent && pass(() => to.write(chunk)));
        from.on('error', () => undefined);
        from.on('close', () => {
          if (!pair.isSilent || from === inner) pass(() => to.destroy());
          this.pairs.delete(pair);
        });
      };
      forward(inner, outer);
      forward(outer, inner);
    });
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  /** The store is away: connections are reset, those that are open and new ones. */
  setDown(isDown) {
    this.isDown = isDown;
    if (!isDown) return;
    this.pairs.forEach(({ inner, outer }) => {
      inner.resetAndDestroy();
      outer.destroy();
    });
  }

  /** Cuts the link: what is sent from now on, on open and on new connections, arrives after heal(). */
  partition() {
    this.held = [];
  }

  /** The link works again. */
  heal() {
    const { held = [] } = this;
    this.held = undefined;
    held.forEach((deliver) => deliver());
  }

  /** All connections that are open now deliver nothing further, and are not closed. */
  silence() {
    this.pairs.forEach((pair) => {
      pair.isSilent = true;
    });
    return this.pairs.size;
  }

  stop() {
    this.server.close();
    this.pairs.forEach(({ inner, outer }) => [inner, outer].forEach((socket) => socket.destroy()));
  }
}

/** Base of the backend server stand-ins: registration, heartbeat, instance check. */
export class Worker {
  sequence = 0;
  state = 'ready';
  born = Date.now();
  /** Headers that the server adds to all its answers. */
  extraHeaders = {};

  constructor({ store, id, service, zone = 'morava-a', slots = 1, ip = '127.0.0.1' }) {
    Object.assign(this, { store, id, service, zone, slots, ip });
  }

  async start(port = 0) {
    this.server = createServer((request, response) => {
      this.receive(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
    await new Promise((done) => this.server.listen(port, this.ip, done));
    this.port = this.server.address().port;
    this.addr = `${this.ip}:${this.port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), 1200);
  }

  /** Writes the entry of the server in the store. */
  beat() {
    this.sequence += 1;
    const { service, addr, zone, slots, state, born, sequence } = this;
    this.store.put('servers', this.id, {
      service, addr, zone, version: 'v1', slots, state, cold_left_ms: 0, sequence, born,
    });
  }

  async receive(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    response.sendDate = false;
    Object.entries(this.extraHeaders).forEach(([name, value]) => response.setHeader(name, value));
    const attemptId = request.headers['citronstage-attempt-id'];
    if (attemptId !== undefined) response.setHeader('Citronstage-Attempt-Id', attemptId);
    const expected = request.headers['citronstage-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.setHeader('Citronstage-Not-Executed', '1');
      response.writeHead(421, { 'Citronstage-Instance-Id': this.id }).end();
      return;
    }
    await this.handle(request, response, body, attemptId);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Answers each request after `workMs` with 200 and a short body. */
export class PlainWorker extends Worker {
  workMs = 20;
  runs = [];

  async handle(request, response, body, attemptId) {
    const run = { id: attemptId, server: this.id, at: performance.now(), headers: request.headers };
    this.runs.push(run);
    await sleep(this.workMs);
    const text = `done ${attemptId}`;
    response.writeHead(200, {
      'Content-Type': 'text/plain',
      'Content-Length': text.length,
      'Citronstage-Response-Seal': `${this.id}.${attemptId}`,
    });
    response.end(text);
    run.endedAt = performance.now();
  }
}

/** Streams `events` events, one each `gapMs`, whose data is that of `dataOf(request)`. */
export class StreamWorker extends Worker {
  events = 17;
  gapMs = 20;
  firstMs = 60;
  runs = [];
  dataOf = () => 'x';
  refusalOf = () => undefined;

  async handle(request, response, body, attemptId) {
    const refusal = this.refusalOf(request);
    if (refusal) {
      response.writeHead(refusal, { 'Citronstage-Not-Executed': '1' }).end();
      return;
    }
    const run = { id: attemptId, server: this.id, at: performance.now(), headers: request.headers };
    this.runs.push(run);
    const data = this.dataOf(request);
    await sleep(this.firstMs);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Citronstage-Response-Seal': `${this.id}.${attemptId}`,
    });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= this.events; event += 1) {
      if (response.destroyed) {
        run.cutAt = performance.now();
        return;
      }
      response.write(`id: ${event}\ndata: ${data}\n\n`);
      if (event < this.events) await sleep(this.gapMs);
    }
    response.end();
    run.endedAt = performance.now();
  }
}

/** Fills in a template as DEPLOY.md has it; only `{{a.b|json}}` and `{{a.b}}` occur in the file. */
function fillIn(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((table, name) => table?.[name], fields);
    if (json) return JSON.stringify(value ?? null);
    return value === undefined ? '' : String(value);
  });
}

/** A front daemon: the role of the deploy file with its command and its template of the settings. */
export class Front {
  constructor({ name, zone = 'morava-a', ip, ports, store, folder, record, bounds = {} }) {
    Object.assign(this, { name, zone, ip, ports, store, folder, record, bounds });
  }

  get address() {
    return { host: this.ip, port: this.ports.front };
  }

  start() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const value = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(deploy)[1];
    const fields = {
      node: this.name, ip: this.ip, zone: this.zone, region: 'morava', machine_class: 'front',
      listen: { front: `${this.ip}:${this.ports.front}`, ready: `${this.ip}:${this.ports.ready}` },
      internal_ports: this.ports.internal,
      limits: { cpu_share: 0.513, cores: 1, memory_mb: 350, max_fds: 4200, link_mbps: 1000.0 },
      heartbeat_ms: 1200,
      bounds: { ...BOUNDS, ...this.bounds },
      platform: { addr: this.storeAddress ?? this.store.address },
    };
    const settings = join(this.folder, `${this.name}.settings`);
    writeFileSync(settings, fillIn(readFileSync(join(ROOT, value('template')), 'utf8'), fields));
    const log = openSync(join(this.folder, `${this.name}.log`), 'a');
    const [, ...words] = value('run').split(' ');
    this.child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CITRONSTAGE_CONFIG: settings },
      stdio: ['ignore', log, log],
    });
    this.exited = new Promise((done) => {
      this.child.once('exit', (code, signal) => {
        this.hasExited = true;
        this.record.line(`${this.name}: process ended (code ${code}, signal ${signal})`);
        done();
      });
    });
    this.hasExited = false;
    this.record.line(`${this.name}: process ${this.child.pid} started`);
  }

  kill(signal) {
    this.record.line(`${this.name}: ${signal}`);
    this.child.kill(signal);
  }

  /** @returns whether `GET /ready` is answered with 200 within half a second */
  isReady() {
    return new Promise((done) => {
      const call = httpRequest(
        { host: this.ip, port: this.ports.ready, path: '/ready', timeout: 500, agent: false },
        (response) => {
          response.resume();
          done(response.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => done(false));
      call.end();
    });
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const endsAt = performance.now() + timeoutMs;
    while (!(await this.isReady())) {
      if (performance.now() > endsAt) throw new Error(`${this.name} is not ready`);
      await sleep(100);
    }
  }
}

/** Starts fronts on addresses of their own with the same ports, as on the machines of a day. */
export async function startFronts({ count, store, storeAddresses = [], folder, record, endFronts, bounds, zones = ['morava-a', 'morava-b', 'morava-c'], name = 'front' }) {
  const ports = {
    front: await freePort(), ready: await freePort(), internal: [await freePort(), await freePort()],
  };
  const fronts = Array.from({ length: count }, (_, index) => {
    const zone = zones[index % zones.length];
    const ip = `127.0.0.${11 + index}`;
    const front = new Front({ name: `${name}-${zone}-${index + 1}`, zone, ip, ports, store, folder, record, bounds });
    return Object.assign(front, { storeAddress: storeAddresses[index] });
  });
  endFronts(fronts);
  fronts.forEach((front) => front.start());
  await Promise.all(fronts.map((front) => front.waitUntilReady()));
  return fronts;
}

/**
 * A client with one kept connection. Reads answers byte by byte, so that it can tell a whole answer
 * from one that was cut.
 */
export class Connection {
  constructor({ host, port }) {
    this.buffer = Buffer.alloc(0);
    this.isClosed = false;
    this.wake = () => undefined;
    this.socket = connect({ host, port });
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => {
      this.buffer = Buffer.concat([this.buffer, chunk]);
      this.wake();
    });
    const close = (reason) => {
      if (!this.isClosed) this.closeReason = reason;
      this.isClosed = true;
      this.wake();
    };
    this.socket.on('end', () => close('closed'));
    this.socket.on('error', (error) => close(error.code));
    this.socket.on('close', () => close('closed'));
  }

  async more() {
    if (this.isClosed) return false;
    await new Promise((done) => {
      this.wake = done;
    });
    return true;
  }

  async readLine() {
    for (;;) {
      const end = this.buffer.indexOf('\r\n');
      if (end >= 0) {
        const line = this.buffer.subarray(0, end).toString('latin1');
        this.buffer = this.buffer.subarray(end + 2);
        return line;
      }
      if (!(await this.more())) return undefined;
    }
  }

  async readBytes(count) {
    while (this.buffer.length < count) if (!(await this.more())) return undefined;
    const bytes = this.buffer.subarray(0, count);
    this.buffer = this.buffer.subarray(count);
    return bytes;
  }

  /**
   * Sends a request and reads its answer.
   * @returns `{ status, headers, body, isWhole, sentAt, endedAt, mayReuse }`; status 0 for no answer
   */
  async send({ method = 'POST', path, headers, body = '' }) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const length = method === 'GET' && !body ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
    const sentAt = performance.now();
    this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}${length}\r\n${body}`);
    const result = { status: 0, headers: {}, body: '', isWhole: false, sentAt, mayReuse: false };
    const end = () => Object.assign(result, { endedAt: performance.now(), cause: this.closeReason });
    let statusLine = await this.readLine();
    if (statusLine === undefined) return end();
    result.status = Number(statusLine.split(' ')[1]);
    for (;;) {
      const line = await this.readLine();
      if (line === undefined) return end();
      if (line === '') break;
      const colon = line.indexOf(':');
      result.headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    result.firstByteAt = performance.now();
    const chunks = [];
    if (result.headers['transfer-encoding'] === 'chunked') {
      for (;;) {
        const size = await this.readLine();
        if (size === undefined) break;
        const bytes = await this.readBytes(parseInt(size, 16) + 2);
        if (bytes === undefined) break;
        if (size === '0') {
          result.isWhole = true;
          break;
        }
        chunks.push(bytes.subarray(0, -2));
      }
    } else {
      const bytes = await this.readBytes(Number(result.headers['content-length'] ?? 0));
      if (bytes !== undefined) {
        chunks.push(bytes);
        result.isWhole = true;
      }
    }
    result.body = Buffer.concat(chunks).toString();
    result.mayReuse = result.isWhole && result.headers.connection !== 'close' && !this.isClosed;
    return end();
  }

  close() {
    this.socket.destroy();
  }
}

/** Runs a case: prepares folder and record, ends all processes, and exits with the verdict. */
export async function runCase(caseUrl, body) {
  const caseFolder = dirname(fileURLToPath(caseUrl));
  const record = new Record(caseFolder);
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const cleanups = [];
  const timer = setTimeout(() => {
    record.line('case did not end in 115 s');
    finish(2);
  }, 115_000);
  let isFinished = false;
  function finish(code) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(timer);
    record.line(`exit ${code}`);
    for (const cleanup of cleanups) {
      try {
        cleanup();
      } catch (error) {
        record.line(`clean-up: ${error.message}`);
      }
    }
    if (process.env.KEEP === '1') console.log(folder);
    else rmSync(folder, { recursive: true, force: true });
    process.exit(code);
  }
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => finish(2)));
  try {
    const context = {
      record, folder,
      onEnd: (cleanup) => cleanups.unshift(cleanup),
      endFronts: (fronts) =>
        cleanups.unshift(() => fronts.forEach(({ child, hasExited }) => !hasExited && child.kill('SIGKILL'))),
    };
    const breaks = await body(context);
    record.line(`breaks of the rule: ${breaks}`);
    console.log(`breaks of the rule: ${breaks}`);
    finish(breaks > 0 ? 1 : 0);
  } catch (error) {
    record.line(`case failed: ${error.stack}`);
    console.log(String(error.stack));
    finish(2);
  }
}
