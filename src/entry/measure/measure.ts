/**
 * Measures throughput, latency and memory of one entry with fake agents without delay; not part of
 * the tests. Usage: `node target/src/entry/measure/measure.js [seconds per load]`. Entry and agents
 * run in child processes, the load in this one.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { Agent } from 'undici';
import { build } from 'hdr-histogram-js';
import { ATTEMPT_PATH } from '../../common/protocol/Attempt.js';
import { TOKEN } from '../testing/fixtures.js';
import type { EntryCommand, ResourceUsage } from './entryProcess.js';
import { CHUNKS_PER_REQUEST } from './templates.js';

const AGENT_PROCESSES = 2;
const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_MS = 1000;
const BYTES_PER_MB = 1e6;
const MAX_MICROSECONDS = 60_000_000;
const WARM_UP_MS = 2000;
const GROWTH_COUNT = 2000;
const loadMs = Number(process.argv[2] ?? 5) * MS_PER_SECOND;

/** Request that a load sends repeatedly. */
interface Target {
  readonly origin: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: () => string;
}

/** Measured values of one load. */
interface LoadFigures {
  /** Requests per second. */
  readonly perSecond: number;
  readonly requests: number;
  /** Median latency, in ms. */
  readonly median: number;
  /** 99th percentile of the latency, in ms. */
  readonly p99: number;
  readonly failures: number;
}

const children: ChildProcess[] = [];

function startChild(file: string): ChildProcess {
  const child = fork(new URL(file, import.meta.url), { execArgv: ['--expose-gc'] });
  children.push(child);
  return child;
}

async function callChild<T>(child: ChildProcess, command: EntryCommand): Promise<T> {
  child.send(command);
  const [reply] = await once(child, 'message');
  return reply as T;
}

/** Runs a closed loop of `concurrency` callers; each sends its next request after a response. */
async function runLoad(
  target: Target,
  concurrency: number,
  durationMs: number,
): Promise<LoadFigures> {
  const dispatcher = new Agent({ connections: concurrency, pipelining: 1 });
  const latencies = build({ highestTrackableValue: MAX_MICROSECONDS });
  const startedAt = performance.now();
  let failures = 0;
  const caller = async () => {
    while (performance.now() - startedAt < durationMs) {
      const sentAt = performance.now();
      const { origin, path, headers } = target;
      const body = target.body();
      const response = await dispatcher.request({ origin, path, method: 'POST', headers, body });
      await response.body.dump({ limit: BYTES_PER_MB });
      if (response.statusCode !== 200) failures += 1;
      latencies.recordValue(Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MS));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, caller));
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  await dispatcher.close();
  const atPercentile = (percentile: number) =>
    latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    perSecond: Math.round(latencies.totalCount / seconds),
    requests: latencies.totalCount,
    median: atPercentile(50),
    p99: atPercentile(99),
    failures,
  };
}

function callerTarget(origin: string, template: string, accept: string): Target {
  const headers = { authorization: `Bearer ${TOKEN}`, accept };
  const body = () => JSON.stringify({ input: { text: 'x' } });
  return { origin, path: `/v1/pipelines/${template}/requests`, headers, body };
}

function agentTarget(address: string): Target {
  let sent = 0;
  const body = () => {
    sent += 1;
    return JSON.stringify({
      attemptId: `direct-${sent}`,
      stage: 'find',
      kind: 'call',
      resumeFrom: 0,
    });
  };
  return { origin: `http://${address}`, path: ATTEMPT_PATH, headers: {}, body };
}

function print(name: string, figures: object): void {
  process.stdout.write(`${name}: ${JSON.stringify(figures)}\n`);
}

/** @returns resident memory of an idle Node process, in bytes. */
async function measureIdleNode(): Promise<number> {
  const program =
    'globalThis.gc(); process.send(process.memoryUsage().rss); setTimeout(() => {}, 1e3)';
  const child = fork('-e', [program], { execArgv: ['--expose-gc'] });
  const [rss] = (await once(child, 'message')) as [number];
  child.kill();
  return rss;
}

async function measureStream(entry: ChildProcess, url: string): Promise<void> {
  const target = callerTarget(url, 'stream', 'text/event-stream');
  await runLoad(target, 8, WARM_UP_MS);
  const before = await callChild<ResourceUsage>(entry, { type: 'usage' });
  const streams = await runLoad(target, 8, loadMs);
  const after = await callChild<ResourceUsage>(entry, { type: 'usage' });
  const chunks = streams.requests * CHUNKS_PER_REQUEST;
  const cpuMs = after.cpuMs - before.cpuMs;
  print(`stream of ${CHUNKS_PER_REQUEST} chunks, 8 callers`, {
    chunksPerSecond: streams.perSecond * CHUNKS_PER_REQUEST,
    cpuMicrosecondsPerChunk: (cpuMs * MICROSECONDS_PER_MS) / chunks,
    failures: streams.failures,
  });
}

async function measure(): Promise<void> {
  const idleBytes = await measureIdleNode();
  const agentProcesses = Array.from({ length: AGENT_PROCESSES }, () =>
    startChild('./agentsProcess.js'),
  );
  const lists = await Promise.all(agentProcesses.map((child) => once(child, 'message')));
  const agents = lists.flatMap(([list]) => list as { id: string; address: string }[]);
  const entry = startChild('./entryProcess.js');
  const { url } = await callChild<{ url: string }>(entry, { type: 'start', agents });
  const usageAfterStart = await callChild<ResourceUsage>(entry, { type: 'usage' });
  const oneStage = callerTarget(url, 'one-stage', 'application/json');
  await runLoad(oneStage, 64, WARM_UP_MS);
  await runLoad(agentTarget(agents[0]!.address), 64, WARM_UP_MS);

  for (const concurrency of [1, 64]) {
    const direct = await runLoad(agentTarget(agents[0]!.address), concurrency, loadMs);
    const before = await callChild<ResourceUsage>(entry, { type: 'usage' });
    const through = await runLoad(oneStage, concurrency, loadMs);
    const after = await callChild<ResourceUsage>(entry, { type: 'usage' });
    print(`one stage, ${concurrency} callers`, {
      ...through,
      addedMedianMs: through.median - direct.median,
      addedP99Ms: through.p99 - direct.p99,
      cpuMsPerRequest: (after.cpuMs - before.cpuMs) / through.requests,
    });
  }
  const four = await runLoad(callerTarget(url, 'four-stages', 'application/json'), 64, loadMs);
  print('four stages, 64 callers', four);
  await measureStream(entry, url);

  const usageAfterLoad = await callChild<ResourceUsage>(entry, { type: 'usage' });
  print('memory in MB', {
    idleNode: idleBytes / BYTES_PER_MB,
    entryAfterStart: usageAfterStart.rssBytes / BYTES_PER_MB,
    entryAfterLoad: usageAfterLoad.rssBytes / BYTES_PER_MB,
    heapAfterStart: usageAfterStart.heapBytes / BYTES_PER_MB,
    heapAfterLoad: usageAfterLoad.heapBytes / BYTES_PER_MB,
  });
  for (const what of ['accounts', 'templates', 'servers'] as const) {
    print(
      `bytes per ${what}`,
      await callChild<object>(entry, { type: 'grow', what, count: GROWTH_COUNT }),
    );
  }
}

try {
  await measure();
} finally {
  children.forEach((child) => child.kill());
}
