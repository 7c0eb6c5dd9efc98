/**
 * Measures one agent process: throughput, added latency, memory, CPU time. Not part of the tests.
 * Run with `node target/src/agent/testing/MeasureAgent.js [SECONDS]`.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFile, readdir } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request, setGlobalDispatcher } from 'undici';
import { createAttempt } from '../../common/attempts/testing/AttemptFixture.js';
import type { Attempt } from '../../common/protocol/Attempt.js';
import { createControl, startStandins, submitAttempt, type Standins } from './AgentFixture.js';
import { createAgentProcesses } from './ProcessFixture.js';

const CONCURRENCY = 32;
const CHUNKS = 500;
const PAGE_BYTES = 4096;
const ACKNOWLEDGE_BATCH_SIZE = 100;
/** Time for start-up work to finish before the idle figures are measured. */
const SETTLE_MS = 5000;

/**
 * Serves a backend that responds to calls immediately and streams completions as fast as the
 * connection accepts them.
 */
async function serveBackend(): Promise<void> {
  const chunks = [...Array(CHUNKS).keys()].map((offset) =>
    JSON.stringify({ id: 'x', offset, choices: [{ text: 'word ', index: 0 }], tokens: 1 }),
  );
  const usage = { prompt_tokens: 1, completion_tokens: CHUNKS, accelerator_ms: 1 };
  const last = { id: 'x', offset: CHUNKS, choices: [], tokens: 0, usage };
  const server = createServer((incoming, response) => {
    incoming.resume();
    incoming.on('end', async () => {
      if (incoming.url !== '/v1/completions') {
        response.end('{}');
        return;
      }
      for (const chunk of chunks) {
        response.write(`data: ${chunk}\n\n`);
        // An engine sends its chunks one by one.
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
      response.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
    });
  });
  server.keepAliveTimeout = 60_000;
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  process.stdout.write(`127.0.0.1:${(server.address() as AddressInfo).port}\n`);
}

/**
 * Returns the CPU time of all threads of a process, in ms. The ticks of `stat` are too coarse for
 * an idle process.
 */
async function cpuMs(pid: number): Promise<number> {
  const threads = await readdir(`/proc/${pid}/task`);
  const times = await Promise.all(
    threads.map(async (thread) => {
      const text = await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8');
      return Number(text.split(' ')[0]) / 1e6;
    }),
  );
  return times.reduce((sum, ms) => sum + ms, 0);
}

async function rssMb(pid: number): Promise<number> {
  const [, pages] = (await readFile(`/proc/${pid}/statm`, 'utf8')).split(' ');
  return (Number(pages) * PAGE_BYTES) / 1e6;
}

function print(name: string, value: Record<string, number | string>): void {
  process.stdout.write(`${JSON.stringify({ name, ...value })}\n`);
}

function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

async function spawnAndRead(args: string[]): Promise<{ child: ChildProcess; line: string }> {
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  return { child, line: line.toString().trim() };
}

/** Records the duration of `work` in the histogram, in microseconds. */
async function recordDuration(histogram: Histogram, work: () => Promise<unknown>): Promise<void> {
  const startedAt = performance.now();
  await work();
  histogram.recordValue(Math.round((performance.now() - startedAt) * 1000));
}

async function measure(seconds: number): Promise<void> {
  setGlobalDispatcher(new Agent({ connections: CONCURRENCY * 2 }));
  const backend = await spawnAndRead([process.argv[1]!, 'backend']);
  const bareNode = await spawnAndRead([
    '-e',
    "require('node:http').createServer().listen(0, () => console.log('up'))",
  ]);
  const standins = await startStandins(0);
  const services: Standins = {
    ...standins,
    url: (name) => (name === 'backend' ? `http://${backend.line}` : standins.url(name)),
  };
  const agents = await createAgentProcesses(services);
  const settings = { slots: CONCURRENCY, id: 's', url: services.url('backend'), pool: 'p' };
  const { child, address } = await agents.spawn('measured', 'backend', { backend: settings });
  const pid = child.pid!;
  const control = createControl(address);
  await sleep(SETTLE_MS);
  const bareMb = await rssMb(bareNode.child.pid!);
  print('memory idle', { agentMb: round(await rssMb(pid)), bareNodeMb: round(bareMb) });
  const idleBefore = await cpuMs(pid);
  await sleep(seconds * 1000);
  print('cpu idle', { percent: round(((await cpuMs(pid)) - idleBefore) / seconds / 10) });

  const run = async (name: string, create: () => Attempt, perAttempt: number) => {
    const latency = build({ numberOfSignificantValueDigits: 3 });
    const cpuBefore = await cpuMs(pid);
    const startedAt = performance.now();
    let count = 0;
    const failures = new Set<string>();
    const worker = async () => {
      let attempts: { attemptId: string; won: boolean }[] = [];
      while (performance.now() - startedAt < seconds * 1000) {
        const attempt = create();
        await recordDuration(latency, async () => {
          const frame = (await submitAttempt(address, attempt)).at(-1)!;
          if (frame.type !== 'result') failures.add(JSON.stringify(frame));
        });
        count += 1;
        attempts.push({ attemptId: attempt.attemptId, won: true });
        if (attempts.length >= ACKNOWLEDGE_BATCH_SIZE) {
          await control.attempt.acknowledge.mutate({ attempts });
          attempts = [];
        }
      }
      await control.attempt.acknowledge.mutate({ attempts });
    };
    await Promise.all([...Array(CONCURRENCY).keys()].map(worker));
    const wallMs = performance.now() - startedAt;
    const cpu = (await cpuMs(pid)) - cpuBefore;
    print(name, {
      perSecond: Math.round((count * 1000) / wallMs),
      cpuUsPerAttempt: round((cpu * 1000) / count),
      cpuUsPerUnit: round((cpu * 1000) / count / perAttempt),
      p50Ms: round(latency.getValueAtPercentile(50) / 1000),
      p95Ms: round(latency.getValueAtPercentile(95) / 1000),
      agentMb: round(await rssMb(pid)),
      failures: failures.size === 0 ? 0 : [...failures][0]!,
    });
  };
  let keyCount = 0;
  const createNonIdempotent = () => {
    keyCount += 1;
    return createAttempt({ idempotent: false, idempotencyKey: `k${keyCount}`, remainingMs: 6000 });
  };
  const createGenerate = () =>
    createAttempt({ kind: 'generate', model: 'm', input: { prompt: 'p' }, remainingMs: 60_000 });
  await run('warm-up', createAttempt, 1);
  await run('idempotent calls', createAttempt, 1);
  await run('non-idempotent calls', createNonIdempotent, 1);
  await run(`streams of ${CHUNKS} chunks`, createGenerate, CHUNKS);

  const direct = build({ numberOfSignificantValueDigits: 3 });
  const viaAgent = build({ numberOfSignificantValueDigits: 3 });
  for (let n = 0; n < 2000; n += 1) {
    await recordDuration(direct, async () => {
      const body = JSON.stringify({ amount: 1 });
      const response = await request(`${services.url('backend')}/x`, { method: 'POST', body });
      await response.body.text();
    });
    const attempt = createAttempt();
    await recordDuration(viaAgent, () => submitAttempt(address, attempt));
    await control.attempt.acknowledge.mutate({
      attempts: [{ attemptId: attempt.attemptId, won: true }],
    });
  }
  const at = (histogram: Histogram, percentile: number) =>
    round(histogram.getValueAtPercentile(percentile) / 1000);
  print('latency of one call at a time', {
    directP50Ms: at(direct, 50),
    directP95Ms: at(direct, 95),
    throughP50Ms: at(viaAgent, 50),
    throughP95Ms: at(viaAgent, 95),
  });
  child.kill('SIGTERM');
  await once(child, 'exit');
  await agents.close();
  await standins.close();
  backend.child.kill();
  bareNode.child.kill();
}

if (process.argv[2] === 'backend') await serveBackend();
else {
  await measure(Number(process.argv[2] ?? 5));
  process.exit(0);
}
