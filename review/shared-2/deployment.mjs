/** Starts the program with the command of the deploy file, and settings from its template. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  appendFileSync,
  openSync,
  closeSync,
  readdirSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'node:http';

export const ROOT = resolve(import.meta.dirname, '../..');

/** Bounds and limits of a small site. */
const FIELDS = {
  limits: {
    cpu_share: 0.513,
    cores: 1,
    memory_mb: 350,
    max_fds: 4100,
    link_mbps: 1000,
    disk_mb: 0,
  },
  heartbeat_ms: 1200,
  bounds: { drain_ms: 2000, grace_s: 8, budget_ratio: 0.2, budget_slack: 58, budget_window_s: 10 },
};

/** Ports below those that the kernel gives to outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS = 16_000;

const taken = new Set();

async function freePort(ip) {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    const server = createServer();
    const isFree = await new Promise((resolveFree) => {
      server.once('error', () => resolveFree(false));
      server.listen(port, ip, () => server.close(() => resolveFree(true)));
    });
    if (isFree && !taken.has(port)) {
      taken.add(port);
      return port;
    }
  }
}

function render(template, fields) {
  const value = (path) => path.split('.').reduce((at, name) => at?.[name], fields);
  return template.replace(/\{\{([^}|]+)\|json\}\}/g, (_, path) => {
    const found = value(path);
    return found === undefined ? '' : JSON.stringify(found);
  });
}

/** One case: its folder of temporary files, its record and its processes. */
export class Deployment {
  folder = mkdtempSync(join(tmpdir(), 'review-'));

  started = new Set();

  startedAt = performance.now();

  constructor(caseFolder) {
    this.recordFile = join(caseFolder, 'record.txt');
    writeFileSync(this.recordFile, '');
  }

  /** Adds a line to record.txt. */
  note(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${seconds.padStart(8)}  ${text}\n`);
  }

  /** @returns a front machine whose program is not running yet */
  async machine(name, ip, zone, store, overrides = {}) {
    const ports = [];
    for (let index = 0; index < 4; index += 1) ports.push(await freePort(ip));
    const [front, ready, ...internal] = ports;
    const fields = {
      ...FIELDS,
      ...overrides,
      bounds: { ...FIELDS.bounds, ...overrides.bounds },
      limits: { ...FIELDS.limits, ...overrides.limits },
      node: name,
      ip,
      zone,
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
      internal_ports: internal.sort((left, right) => left - right),
      platform: { addr: store.address },
    };
    return new Machine(this, name, fields);
  }

  async end() {
    const running = [...this.started].filter(
      (child) => child.exitCode === null && child.signalCode === null,
    );
    running.forEach((child) => child.kill('SIGCONT'));
    running.forEach((child) => child.kill('SIGKILL'));
    await Promise.all(running.map((child) => once(child, 'exit')));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

class Machine {
  constructor(deployment, name, fields) {
    Object.assign(this, { deployment, name, fields });
    this.front = fields.listen.front;
    this.ready = fields.listen.ready;
    this.logFile = join(deployment.folder, `${name}.log`);
  }

  /** Starts the program as deploy/system.toml says. */
  start() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8');
    const settings = join(this.deployment.folder, `${this.name}.settings`);
    writeFileSync(settings, render(template, this.fields));
    const log = openSync(this.logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, ...(LANG && { LANG }), CITRONSTAGE_CONFIG: settings },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.deployment.started.add(this.child);
    this.deployment.note(`${this.name} started`);
    const { child } = this;
    this.exited = once(child, 'exit').then(([code, signal]) => {
      this.deployment.note(`${this.name} ended: ${signal ?? `status ${code}`}`);
      return { code, signal };
    });
  }

  get isRunning() {
    return (
      this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
    );
  }

  signal(name) {
    this.deployment.note(`${this.name} gets ${name}`);
    this.child.kill(name);
  }

  /** @returns status of a readiness check; 0 without an answer in a second */
  isReady() {
    const [host, port] = this.ready.split(':');
    return new Promise((resolveStatus) => {
      const call = request(
        { host, port, path: '/ready', timeout: 1000, agent: false },
        (response) => {
          response.resume();
          resolveStatus(response.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolveStatus(false));
      call.end();
    });
  }

  async waitUntilReady(timeoutMs = 20_000) {
    const endsAt = performance.now() + timeoutMs;
    while (!(await this.isReady())) {
      // A process that has ended may be started again meanwhile.
      if (performance.now() > endsAt) throw new Error(`${this.name} is not ready`);
      await sleep(50);
    }
    this.readyAt = performance.now();
    this.deployment.note(`${this.name} is ready`);
  }

  /** @returns resident memory now and at its peak, in MB */
  memoryMb() {
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      const of = (field) =>
        Math.round(Number(new RegExp(`^${field}:\\s+(\\d+)`, 'm').exec(status)?.[1]) / 1000);
      return { now: of('VmRSS'), peak: of('VmHWM') };
    } catch {
      return { now: NaN, peak: NaN };
    }
  }

  descriptors() {
    try {
      return readdirSync(`/proc/${this.child.pid}/fd`).length;
    } catch {
      return NaN;
    }
  }

  log() {
    return readFileSync(this.logFile, 'utf8');
  }
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param caseFolder - folder of the case
 * @param body - returns why the rule was broken; undefined if it held
 */
export async function runCase(caseFolder, body) {
  const deployment = new Deployment(caseFolder);
  let status = 2;
  const limit = setTimeout(() => {
    deployment.note('the case took too long');
    deployment.end().finally(() => process.exit(2));
  }, 115_000);
  try {
    const broken = await body(deployment);
    deployment.note(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
    status = broken === undefined ? 0 : 1;
  } catch (error) {
    deployment.note(`the case could not run: ${error.stack}`);
  }
  await deployment.end();
  clearTimeout(limit);
  process.stdout.write(
    readFileSync(deployment.recordFile, 'utf8').split('\n').slice(-12).join('\n'),
  );
  process.exit(status);
}
