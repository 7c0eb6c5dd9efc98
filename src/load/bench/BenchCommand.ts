/**
 * Runs the same load against both policies, one after the other, each in newly started processes.
 */
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { Cluster } from '../launch/Cluster.js';
import type { Variant } from '../launch/Types.js';
import { drawArrivals } from './Arrivals.js';
import { BENCH_FAULTS } from './BenchFaults.js';
import { runLoad } from './LoadRunner.js';
import { reportPolicy } from './PolicyReport.js';
import type { Arrival, BenchOptions, BenchReport, PolicyReport } from './Types.js';

/** Short flush interval, so that the report does not wait long for the last ledger rows. */
const LEDGER_FLUSH_MS = 1000;

const MS_PER_SECOND = 1000;

/**
 * Runs the bench for both policies.
 * @param options - deployment, fault, seed, length and offered load
 * @param progress - called with progress lines
 * @returns report of both policies
 */
export async function runBench(
  options: BenchOptions,
  progress: (message: string) => void,
): Promise<BenchReport> {
  const arrivals = drawArrivals(DEPLOYMENTS[options.deployment]!(), options);
  const naive = await runPolicy('naive', options, arrivals, progress);
  const current = await runPolicy('current', options, arrivals, progress);
  return { ...options, offered: arrivals.length, policies: { naive, current } };
}

async function runPolicy(
  variant: Variant,
  options: BenchOptions,
  arrivals: readonly Arrival[],
  progress: (message: string) => void,
): Promise<PolicyReport> {
  const cluster = await Cluster.start({
    deployment: DEPLOYMENTS[options.deployment]!(),
    variant,
    relays: options.fault === 'silent' || options.fault === 'mixed',
    entry: { ledger: { flushIntervalMs: LEDGER_FLUSH_MS } },
    agent: { ledger: { flushIntervalMs: LEDGER_FLUSH_MS } },
  });
  try {
    progress(`${variant}: ${arrivals.length} requests in ${options.seconds} s`);
    const injecting = BENCH_FAULTS[options.fault]!(cluster, options.seconds * MS_PER_SECOND);
    const samples = await runLoad(cluster, arrivals, (line) => progress(`${variant}: ${line}`));
    await injecting;
    return await reportPolicy(cluster, samples);
  } finally {
    await cluster.dispose();
  }
}

/**
 * @param report - report of a bench run
 * @returns lines of a plain-text table, one figure per line
 */
export function renderReport(report: BenchReport): string[] {
  const { deployment, fault, seed, load, seconds, offered, policies } = report;
  const row = (name: string, valueOf: (policy: PolicyReport) => string | number): string =>
    [
      name.padEnd(28),
      ...[policies.naive, policies.current].map((policy) => cell(valueOf(policy))),
    ].join('');
  const spread = (name: 'latencyMs' | 'firstTokenMs' | 'betweenTokensMs'): string =>
    row(`${name} p50/p95/p99`, (policy) => Object.values(policy[name]).join('/'));
  return [
    `${deployment}, fault ${fault}, seed ${seed}, ${load} of capacity, ${offered} requests in ${seconds} s`,
    ['figure'.padEnd(28), cell('naive'), cell('current')].join(''),
    row('attainment', (policy) => policy.attainment),
    ...Object.keys(policies.current.attainmentByAccount).map((account) =>
      row(`  ${account}`, (policy) => policy.attainmentByAccount[account] ?? 0),
    ),
    row('lost', (policy) => policy.lost),
    row('doubled', (policy) => policy.doubled),
    row('wrong', (policy) => policy.wrong),
    row('false refusals', (policy) => policy.falseRefusals),
    row('refused after earlier run', (policy) => policy.refusedAfterEarlierRun),
    ...errorRows(report, row),
    spread('latencyMs'),
    ...Object.keys(policies.current.latencyByTemplateMs).map((template) =>
      row(`  ${template}`, (policy) =>
        Object.values(policy.latencyByTemplateMs[template] ?? {}).join('/'),
      ),
    ),
    spread('firstTokenMs'),
    spread('betweenTokensMs'),
    row('overhead share', (policy) => policy.overheadShare),
    row('cost not attributed', (policy) => policy.costUnattributed),
    ...costRows(report, row),
  ];
}

function errorRows(
  { policies }: BenchReport,
  row: (name: string, valueOf: (policy: PolicyReport) => number) => string,
): string[] {
  const kinds = new Set([
    ...Object.keys(policies.naive.errors),
    ...Object.keys(policies.current.errors),
  ]);
  return [...kinds].map((kind) => row(`  ${kind}`, (policy) => policy.errors[kind] ?? 0));
}

function costRows(
  report: BenchReport,
  row: (name: string, valueOf: (policy: PolicyReport) => number) => string,
): string[] {
  const lines = Object.entries(report.policies.current.costByStage).flatMap(([account, stages]) =>
    Object.keys(stages).map((stage) =>
      row(`  ${account} ${stage}`, (policy) => policy.costByStage[account]?.[stage] ?? 0),
    ),
  );
  return ['cost by stage, accelerator ms', ...lines];
}

function cell(value: string | number): string {
  return String(value).padStart(20);
}
