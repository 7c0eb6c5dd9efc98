// Shared parts of the scripts of review 3: stand-ins of the platform's store and of workers, written from
// the users' pages, and the serving processes, started with the command and the settings template of
// the deploy file. Everything listens on loopback addresses.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('..', import.meta.url));
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => Math.round(performance.now());
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run to `record.txt` of the case. */
export class Record {
  constructor(folder) {
    this.file = createWriteStream(join(folder, 'record.txt'));
    this.startedAt = performance.now();
  }

  line(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    this.file.write(`${seconds} ${text}\n`);
  }

  end(code) {
    this.line(`exit ${code}`);
    return new Promise((resolve) => this.file.end(resolve));
  }
}

/** The platform's metadata store: rows-get, rows-feed and rows-tx as on the page of the protocol. */
export class Store {
  rows = new Map();
  version = 0;
  waiters = new Set();
  /** While set, all calls get 503: nothing was done. */
  isDown = false;
  server = http.createServer((request, response) => this.handle(request, response));

  async start() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.server.keepAliveTimeout = 60_000;
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  put(table, key, value) {
    this.write(table, '', key, Buffer.from(JSON.stringify(value)).toString('base64'));
    this.wake();
  }

  remove(table, key) {
    this.write(table, '', key, undefined);
    this.wake();
  }

  write(table, part, key, value) {
    this.version += 1;
    this.rows.set(JSON.stringify([table, part, key]), {
      table,
      part,
      key,
      ...(value === undefined ? { removed: true } : { value }),
      row_version: this.version,
    });
  }

  wake() {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((waiter) => waiter());
  }

  reply(response, status, body) {
    const text = JSON.stringify({ ...body, row_version: this.version, now_ms: now() });
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': '0',
    });
    response.end(text);
  }

  /** Answers all calls with 503, also those that wait, or ends this. */
  setDown(isDown) {
    this.isDown = isDown;
    this.wake();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isDown) {
      this.reply(response, 503, {});
      return;
    }
    const url = new URL(request.url, 'http://store');
    const table = url.searchParams.get('table');
    if (url.pathname === '/rows-get') {
      const part = url.searchParams.get('part') ?? '';
      const from = url.searchParams.get('from') ?? '';
      const to = url.searchParams.get('to');
      const all = [...this.rows.values()]
        .filter((row) => row.table === table && row.part === part && !row.removed)
        .filter(({ key }) => key >= from && (to === null || key < to))
        .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
      const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500));
      this.reply(response, 200, { rows: all.slice(0, limit), has_more: all.length > limit });
    } else if (url.pathname === '/rows-feed') {
      const after = Number(url.searchParams.get('after'));
      const changed = () =>
        [...this.rows.values()]
          .filter((row) => row.table === table && row.row_version > after)
          .sort((a, b) => a.row_version - b.row_version);
      const endsAt = performance.now() + Number(url.searchParams.get('wait_ms') ?? 0);
      while (!this.isDown && changed().length === 0 && performance.now() < endsAt && !response.destroyed) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, endsAt - performance.now());
          this.waiters.add(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      if (this.isDown) this.reply(response, 503, {});
      else this.reply(response, 200, { rows: changed() });
    } else if (url.pathname === '/rows-tx') {
      const { precondition = [], put = [], remove = [] } = JSON.parse(Buffer.concat(chunks));
      const rowOf = (row) => this.rows.get(JSON.stringify([row.table, row.part, row.key]));
      const versionOf = (row) => (rowOf(row)?.removed ? 0 : (rowOf(row)?.row_version ?? 0));
      if ([...put, ...remove].some((row) => ['op', 'servers'].includes(row.table))) {
        this.reply(response, 403, {});
      } else if (precondition.some((row) => versionOf(row) !== row.row_version)) {
        const rows = precondition.map(rowOf).filter((row) => row && !row.removed);
        this.reply(response, 412, { rows });
      } else {
        put.forEach((row) => this.write(row.table, row.part, row.key, row.value));
        remove.forEach((row) => this.write(row.table, row.part, row.key, undefined));
        this.reply(response, 200, {});
        this.wake();
      }
    } else this.reply(response, 404, {});
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Configuration as the operator writes it, with the limits of the users' small deployments. */
export function configuration(fields) {
  return {
    version: 7,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'tenant-a', api_keys: ['key-a'], priority: 1 }],
    ...fields,
  };
}

async function isFree(ip, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

async function freePorts(ips, count) {
  const ports = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const free = await Promise.all(ips.map((ip) => isFree(ip, port)));
    if (!ports.includes(port) && free.every(Boolean)) ports.push(port);
  }
  return ports;
}

/** @returns template with its placeholders filled in as on the page of the deploy file */
function fill(template, fields) {
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) =>
    JSON.stringify(path.split('.').reduce((value, key) => value?.[key], fields) ?? null),
  );
}

/** Serving processes, each on an address of its own with the same ports, as on the platform. */
export class Deployment {
  processes = [];

  constructor(store, record) {
    this.store = store;
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'citronstage-review-'));
    process.once('exit', () => this.kill());
    ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((name) => process.once(name, () => process.exit(2)));
  }

  /** @param fields - fields of the platform's settings that differ from those of the page */
  async start(count, { zones = ['birmingham'], bounds = {}, limits = {} } = {}) {
    const ips = Array.from({ length: count }, (_, index) => `127.0.7.${index + 1}`);
    const [front, ready, first, second] = await freePorts(ips, 4);
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [, command] = /\[roles\.entry\]\s+run = "([^"]+)"/.exec(deploy);
    const [, templatePath] = /template = "([^"]+)"/.exec(deploy);
    const template = readFileSync(join(ROOT, templatePath), 'utf8');
    for (const [index, ip] of ips.entries()) {
      const fields = {
        node: `front-${index + 1}`,
        ip,
        zone: zones[index % zones.length],
        listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
        internal_ports: [first, second],
        heartbeat_ms: 1200,
        platform: { addr: this.store.address },
        limits: {
          cpu_share: 0.513,
          cores: 1,
          link_mbps: 1000,
          memory_mb: 350,
          max_fds: 4100,
          ...limits,
        },
        bounds: {
          drain_ms: 2000,
          grace_s: 8,
          budget_ratio: 0.2,
          budget_slack: 58,
          budget_window_s: 10,
          ...bounds,
        },
      };
      const settings = join(this.folder, `front-${index + 1}.jsonc`);
      writeFileSync(settings, fill(template, fields));
      this.processes.push({ name: fields.node, ip, front, ready, settings, command });
    }
    this.processes.forEach((each) => this.launch(each));
    await Promise.all(this.processes.map((each) => this.untilReady(each)));
    // Heartbeats and rows of all processes have arrived everywhere.
    await sleep(2500);
  }

  launch(each) {
    const [program, ...words] = each.command.split(' ');
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CITRONSTAGE_CONFIG: each.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    each.child = child;
    each.log = [];
    const keep = (data) => each.log.push(String(data));
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) =>
      this.record.line(`${each.name} ended: code ${code}, signal ${signal}`),
    );
  }

  async untilReady(each) {
    for (let tries = 0; tries < 300; tries += 1) {
      if ((await this.readiness(each)) === 200) return;
      await sleep(100);
    }
    throw new Error(`${each.name} is not ready: ${each.log.join('').slice(-2000)}`);
  }

  readiness({ ip, ready }) {
    return new Promise((resolve) => {
      const request = http.get({ host: ip, port: ready, path: '/ready', agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      request.setTimeout(1000, () => request.destroy());
      request.on('error', () => resolve(0));
    });
  }

  kill() {
    this.processes.forEach(({ child }) => child?.kill('SIGKILL'));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case and exits as the reviews ask.
 * @param url - URL of the case's script
 * @param play - returns the broken rules, each a text; throws if the case could not run
 */
export async function runCase(url, play) {
  const record = new Record(fileURLToPath(new URL('.', url)));
  const store = new Store();
  let code = 2;
  const limit = setTimeout(() => process.exit(2), 115_000);
  try {
    await store.start();
    const deployment = new Deployment(store, record);
    const breaks = await play({ record, store, deployment });
    breaks.forEach((text) => record.line(`BROKEN ${text}`));
    breaks.slice(0, 5).forEach((text) => console.log(`BROKEN ${text}`));
    code = breaks.length > 0 ? 1 : 0;
    deployment.kill();
  } catch (error) {
    record.line(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  await record.end(code);
  process.exit(code);
}
