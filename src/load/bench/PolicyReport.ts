/**
 * Computes the figures of one policy from samples, runs of the backend servers, and reported costs.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { RunRecord } from '../../standin/Faults.js';
import { findAnswerError } from '../client/AnswerCheck.js';
import type { Cluster } from '../launch/Cluster.js';
import { readReportedCosts, type ReportedCosts } from './ReportedCosts.js';
import type { Percentiles, PolicyReport, Sample } from './Types.js';

/** Upper bound of the latency histogram; longer latencies are recorded as this value. */
const MAX_LATENCY_MS = 60_000;

/** A sample with its classification. */
interface EvaluatedSample extends Sample {
  readonly isWrong: boolean;
  readonly isDoubled: boolean;
  readonly isFalseRefusal: boolean;
  readonly isRefusedAfterRun: boolean;
  readonly isAttained: boolean;
}

/**
 * Evaluates all samples of a bench run.
 * @param cluster - cluster that served the load, still running
 * @param samples - requests and answers
 * @returns figures of the policy
 */
export async function reportPolicy(
  cluster: Cluster,
  samples: readonly Sample[],
): Promise<PolicyReport> {
  const runs = (await Promise.all(cluster.servers.map((server) => server.control.runs()))).flat();
  const evaluated = evaluateSamples(samples, runs);
  const attained = evaluated.filter((sample) => sample.isAttained);
  const costs = await readReportedCosts(cluster, samples);
  return {
    attainment: ratio(attained.length, evaluated.length),
    attainmentByAccount: attainmentByAccount(evaluated),
    lost: evaluated.filter(({ answer }) => answer.kind === 'broken').length,
    doubled: evaluated.filter((sample) => sample.isDoubled).length,
    wrong: evaluated.filter((sample) => sample.isWrong).length,
    falseRefusals: evaluated.filter((sample) => sample.isFalseRefusal).length,
    refusedAfterEarlierRun: evaluated.filter((sample) => sample.isRefusedAfterRun).length,
    errors: errorsByKind(evaluated),
    latencyMs: percentiles(attained.map(({ answer }) => answer.latencyMs)),
    latencyByTemplateMs: latencyByTemplate(attained),
    firstTokenMs: percentiles(attained.flatMap(({ answer }) => answer.chunks[0]?.atMs ?? [])),
    betweenTokensMs: percentiles(attained.flatMap(tokenGaps)),
    ...costFigures(costs, runs),
  };
}

function evaluateSamples(
  samples: readonly Sample[],
  runs: readonly RunRecord[],
): EvaluatedSample[] {
  const byRequest = countBy(runs, (run) => run.requestId);
  const byKey = countBy(
    runs.filter((run) => run.idempotencyKey !== null),
    (run) => `${run.account} ${run.idempotencyKey}`,
  );
  return samples.map((sample) => {
    const { arrival, answer } = sample;
    const { template, deadlineMs } = arrival.traffic;
    const isWrong = findAnswerError(template, arrival.input, answer) !== undefined;
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
  runs: readonly RunRecord[],
): Pick<PolicyReport, 'costByStage' | 'overheadShare' | 'costUnattributed'> {
  const meteredMs = runs.reduce((total, run) => total + run.acceleratorMs, 0);
  const reportedMs = costs.usefulMs + costs.overheadMs;
  return {
    costByStage: costs.costByStage,
    overheadShare: ratio(costs.overheadMs, reportedMs),
    costUnattributed: ratio(meteredMs - reportedMs, meteredMs),
  };
}

function attainmentByAccount(evaluated: readonly EvaluatedSample[]): Record<string, number> {
  const offered = countBy(evaluated, ({ arrival }) => arrival.account.id);
  const attained = countBy(
    evaluated.filter((sample) => sample.isAttained),
    ({ arrival }) => arrival.account.id,
  );
  const shares = [...offered].map(
    ([account, count]) => [account, ratio(attained.get(account) ?? 0, count)] as const,
  );
  return Object.fromEntries(shares);
}

function latencyByTemplate(attained: readonly EvaluatedSample[]): Record<string, Percentiles> {
  const names = [...new Set(attained.map(({ arrival }) => arrival.traffic.template.name))];
  const latencies = names.map((name) => {
    const ofTemplate = attained.filter(({ arrival }) => arrival.traffic.template.name === name);
    return [name, percentiles(ofTemplate.map(({ answer }) => answer.latencyMs))] as const;
  });
  return Object.fromEntries(latencies);
}

function errorsByKind(evaluated: readonly EvaluatedSample[]): Record<string, number> {
  const kinds = evaluated.flatMap(({ answer }) => {
    if (answer.kind === 'result') return [];
    if (answer.kind === 'broken') return [`broken: ${answer.message.split(',')[0]}`];
    return [`${answer.error.kind}/${answer.error.outcome}`];
  });
  return Object.fromEntries(countBy(kinds, (kind) => kind));
}

function tokenGaps({ answer }: EvaluatedSample): number[] {
  return answer.chunks
    .slice(1)
    .map((chunk, position) => chunk.atMs - answer.chunks[position]!.atMs);
}

function percentiles(values: readonly number[]): Percentiles {
  const histogram: Histogram = build({ highestTrackableValue: MAX_LATENCY_MS });
  values.forEach((value) => histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.round(value))));
  const valueAt = (percentile: number): number => histogram.getValueAtPercentile(percentile);
  return { p50: valueAt(50), p95: valueAt(95), p99: valueAt(99) };
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, number> {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1));
  return counts;
}

function ratio(part: number, total: number): number {
  return total === 0 ? 0 : Math.round((part / total) * 1e4) / 1e4;
}
