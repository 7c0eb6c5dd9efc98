/** Starts a small deployment, sends one plan and one deposit, and prints answers, costs and trace. */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { callEntry, type CallerAnswer } from '../client/CallerClient.js';
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import type { AccountDescription } from '../deployment/Types.js';
import { Cluster } from '../launch/Cluster.js';
import { readCosts } from './Costs.js';
import { parseSpans, renderTrace } from './SpanTree.js';

const TRACE_FILE = 'spans.jsonl';
const DEADLINE_MS = 6000;
const SHUTDOWN_TIMEOUT_MS = 5000;
const LEDGER_FLUSH_INTERVAL_MS = 500;
const IDEMPOTENCY_KEY = 'deposit-of-the-demo';

type Print = (line: string) => void;

/**
 * Runs the demo.
 * @param print - called with each line of output
 * @returns whether all requests had results and the deposit took effect exactly once
 */
export async function runDemo(print: Print): Promise<boolean> {
  const startedAt = Date.now();
  const cluster = await Cluster.start({
    deployment: DEPLOYMENTS.small!(),
    variant: 'current',
    traceFile: TRACE_FILE,
    entry: { ledger: { flushIntervalMs: LEDGER_FLUSH_INTERVAL_MS } },
    agent: { ledger: { flushIntervalMs: LEDGER_FLUSH_INTERVAL_MS } },
  });
  try {
    const { entries, agents, servers } = cluster;
    const sizes = `${entries.length} entries, ${agents.length} agents, ${servers.length} servers`;
    print(`started ${sizes} in ${Date.now() - startedAt} ms`);
    const plan = await requestPlan(cluster, print);
    const ranOnce = await sendDepositTwice(cluster, print);
    await sleep(2 * LEDGER_FLUSH_INTERVAL_MS);
    await printCosts(cluster, print);
    await shutDown(cluster);
    await printTrace(cluster, plan, print);
    return plan.kind === 'result' && ranOnce;
  } finally {
    await cluster.dispose();
  }
}

async function requestPlan(cluster: Cluster, print: Print): Promise<CallerAnswer> {
  const answer = await callEntry({
    address: cluster.entries[0]!.address,
    token: accountAt(cluster, 0).token,
    template: 'stitch-plan',
    input: { question: 'a cable pattern for a winter jumper in two colours' },
    streamed: true,
    timeoutMs: DEADLINE_MS,
  });
  print('');
  print(`stitch plan for ${accountAt(cluster, 0).id}: ${summarize(answer)}`);
  print(`  ${answer.chunks.length} chunks: ${answer.chunks.map((chunk) => chunk.text).join('')}`);
  return answer;
}

async function sendDepositTwice(cluster: Cluster, print: Print): Promise<boolean> {
  const answers: CallerAnswer[] = [];
  print('');
  for (const entry of cluster.entries.slice(0, 2)) {
    const answer = await callEntry({
      address: entry.address,
      token: accountAt(cluster, 1).token,
      template: 'deposit',
      input: { details: { bandstand: 'ashdown', amount: 40 } },
      idempotencyKey: IDEMPOTENCY_KEY,
      timeoutMs: DEADLINE_MS,
    });
    answers.push(answer);
    print(`deposit with key ${IDEMPOTENCY_KEY} through ${entry.id}: ${summarize(answer)}`);
    print(`  ${answer.kind === 'result' ? JSON.stringify(answer.result.output) : ''}`);
  }
  const runs = await Promise.all(
    cluster.serversOf('bookings').map((server) => server.control.runs()),
  );
  const effects = runs.flat().filter((run) => run.idempotencyKey === IDEMPOTENCY_KEY).length;
  print(`the booking service counted ${effects} effect of ${answers.length} deposits`);
  return effects === 1 && answers.every((answer) => answer.kind === 'result');
}

async function printCosts(cluster: Cluster, print: Print): Promise<void> {
  const costs = await readCosts(cluster);
  print('');
  print('cost by stage: account, template, stage, accelerator ms, tokens in, tokens out, calls');
  costs.forEach(({ account, template, stage, usage }) => {
    const { acceleratorMs, tokensIn, tokensOut, calls } = usage;
    const names = [account, template, stage].map((name) => name.padEnd(18)).join('');
    const counts = [acceleratorMs.toFixed(1), tokensIn, tokensOut, calls];
    print(`  ${names}${counts.map((count) => String(count).padStart(9)).join('')}`);
  });
}

async function printTrace(cluster: Cluster, plan: CallerAnswer, print: Print): Promise<void> {
  const file = join(cluster.launcher.folder, TRACE_FILE);
  const spans = parseSpans(await readFile(file, 'utf8').catch(() => ''));
  const requestId = plan.kind === 'result' ? plan.result.requestId : '';
  const root = spans.find((span) => Object.values(span.attributes).includes(requestId)) ?? spans[0];
  print('');
  print(`hops of request ${requestId}`);
  renderTrace(spans, root?.traceId ?? '').forEach((line) => print(`  ${line}`));
}

/** Stops entries and agents gracefully, so that all spans are written. */
async function shutDown(cluster: Cluster): Promise<void> {
  const processes = [...cluster.entries, ...cluster.agents].map((member) => member.process);
  await Promise.all(processes.map((child) => child.terminate(SHUTDOWN_TIMEOUT_MS)));
}

function accountAt(cluster: Cluster, position: number): AccountDescription {
  return cluster.options.deployment.accounts[position]!;
}

function summarize(answer: CallerAnswer): string {
  const time = `${answer.latencyMs.toFixed(0)} ms`;
  if (answer.kind === 'error')
    return `error ${answer.error.kind}, ${answer.error.message}, ${time}`;
  if (answer.kind === 'broken') return `broken, ${answer.message}, ${time}`;
  const isReplayed = answer.result.stages.some((stage) => stage.replayed);
  return `result${isReplayed ? ' (replayed)' : ''} in ${time}, request ${answer.result.requestId}`;
}
