/** Figures of one policy from samples, runs and ledger. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Run } from '../../standin/Faults.js';
import { findWrongAnswer } from '../client/AnswerCheck.js';
import type { Cluster } from '../launch/Cluster.js';
import { readReportedCosts, type ReportedCosts } from './ReportedCosts.js';
import type { Percentiles, PolicyReport, Sample } from './Types.js';

const HIGHEST_MS = 60_000;

/** A sample with what was found about it. */
interface Judged extends Sample {
  readonly isWrong: boolean;
  readonly isDoubled: boolean;
  readonly isFalseRefusal: boolean;
  readonly isRefusedAfterRun: boolean;
  readonly isAttained: boolean;
}

/**
 * Judges all samples of a run.
 * @param cluster - cluster that served the load, still running
 * @param samples - requests and answers
 * @returns figures
 */
export async function reportPolicy(
  cluster: Cluster,
  samples: readonly Sample[],
): Promise<PolicyReport> {
  const runs = (await Promise.all(cluster.servers.map((server) => server.control.runs()))).flat();
  const judged = judgeAll(samples, runs);
  const attained = judged.filter((sample) => sample.isAttained);
  const costs = await readReportedCosts(cluster, samples);
  return {
    attainment: ratio(attained.length, judged.length),
    attainmentByAccount: attainmentByAccount(judged),
    lost: judged.filter(({ answer }) => answer.kind === 'broken').length,
    doubled: judged.filter((sample) => sample.isDoubled).length,
    wrong: judged.filter((sample) => sample.isWrong).length,
    falseRefusals: judged.filter((sample) => sample.isFalseRefusal).length,
    refusedAfterEarlierRun: judged.filter((sample) => sample.isRefusedAfterRun).length,
    errors: errorsByKind(judged),
    latencyMs: percentiles(attained.map(({ answer }) => answer.latencyMs)),
    latencyByTemplateMs: latencyByTemplate(attained),
    firstTokenMs: percentiles(attained.flatMap(({ answer }) => answer.chunks[0]?.atMs ?? [])),
    betweenTokensMs: percentiles(attained.flatMap(tokenGaps)),
    ...costFigures(costs, runs),
  };
}

function judgeAll(samples: readonly Sample[], runs: readonly Run[]): Judged[] {
  const byRequest = countBy(runs, (run) => run.requestId);
  const byKey = countBy(
    runs.filter((run) => run.idempotencyKey !== null),
    (run) => `${run.account} ${run.idempotencyKey}`,
  );
  return samples.map((sample) => {
    const { arrival, answer } = sample;
    const { template, deadlineMs } = arrival.traffic;
    const isWrong = findWrongAnswer(template, arrival.input, answer) !== undefined;
    const effects = byKey.get(`${arrival.account.id} ${arrival.idempotencyKey}`) ?? 0;
    const isDoubled = arrival.idempotencyKey !== undefined && effects > 1;
    const isInTime = answer.latencyMs <= deadlineMs;
    const isAttained = answer.kind === 'result' && isInTime && !isWrong && !isDoubled;
    const isRefused = answer.kind === 'error' && answer.error.outcome === 'not-run';
    const requestId = answer.kind === 'error' ? (answer.error.requestId ?? '') : '';
    const hasRun = (byRequest.get(requestId) ?? 0) > 0;
    const isFalseRefusal = isRefused && (hasRun || (effects > 0 && sample.sends === 1));
    const isRefusedAfterRun = isRefused && !isFalseRefusal && effects > 0;
    return { ...sample, isWrong, isDoubled, isAttained, isFalseRefusal, isRefusedAfterRun };
  });
}

function costFigures(
  costs: ReportedCosts,
  runs: readonly Run[],
): Pick<PolicyReport, 'costByStage' | 'overheadShare' | 'costUnattributed'> {
  const metered = runs.reduce((total, run) => total + run.acceleratorMs, 0);
  const reported = costs.usefulMs + costs.overheadMs;
  return {
    costByStage: costs.costByStage,
    overheadShare: ratio(costs.overheadMs, reported),
    costUnattributed: ratio(metered - reported, metered),
  };
}

function attainmentByAccount(judged: readonly Judged[]): Record<string, number> {
  const offered = countBy(judged, ({ arrival }) => arrival.account.id);
  const attained = countBy(
    judged.filter((sample) => sample.isAttained),
    ({ arrival }) => arrival.account.id,
  );
  const shares = [...offered].map(
    ([account, count]) => [account, ratio(attained.get(account) ?? 0, count)] as const,
  );
  return Object.fromEntries(shares);
}

function latencyByTemplate(attained: readonly Judged[]): Record<string, Percentiles> {
  const names = [...new Set(attained.map(({ arrival }) => arrival.traffic.template.name))];
  const latencies = names.map((name) => {
    const own = attained.filter(({ arrival }) => arrival.traffic.template.name === name);
    return [name, percentiles(own.map(({ answer }) => answer.latencyMs))] as const;
  });
  return Object.fromEntries(latencies);
}

function errorsByKind(judged: readonly Judged[]): Record<string, number> {
  const kinds = judged.flatMap(({ answer }) => {
    if (answer.kind === 'result') return [];
    if (answer.kind === 'broken') return [`broken: ${answer.message.split(',')[0]}`];
    return [`${answer.error.kind}/${answer.error.outcome}`];
  });
  return Object.fromEntries(countBy(kinds, (kind) => kind));
}

function tokenGaps({ answer }: Judged): number[] {
  return answer.chunks
    .slice(1)
    .map((chunk, position) => chunk.atMs - answer.chunks[position]!.atMs);
}

function percentiles(values: readonly number[]): Percentiles {
  const histogram: Histogram = build({ highestTrackableValue: HIGHEST_MS });
  values.forEach((value) => histogram.recordValue(Math.min(HIGHEST_MS, Math.round(value))));
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile);
  return { p50: at(50), p95: at(95), p99: at(99) };
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, number> {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1));
  return counts;
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : Math.round((part / whole) * 1e4) / 1e4;
}
