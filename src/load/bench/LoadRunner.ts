/**
 * Open-loop load generator: sends each request at its arrival time, whether or not earlier requests
 * have finished.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { callEntry, type CallerAnswer } from '../client/CallerClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { Arrival, Sample } from './Types.js';

const PROGRESS_INTERVAL_MS = 10_000;

/**
 * Sends all arrivals and waits for their answers.
 * @param cluster - running cluster
 * @param arrivals - requests in the order of arrival
 * @param progress - called with a progress line every 10 s
 * @returns one sample for each arrival
 */
export async function runLoad(
  cluster: Cluster,
  arrivals: readonly Arrival[],
  progress: (message: string) => void,
): Promise<Sample[]> {
  const startedAt = performance.now();
  const pending: Promise<Sample>[] = [];
  const finished = new Set<Sample>();
  const timer = setInterval(() => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(0);
    progress(
      `${seconds} s: ${pending.length} of ${arrivals.length} sent, ${finished.size} finished`,
    );
  }, PROGRESS_INTERVAL_MS);
  for (const arrival of arrivals) {
    const waitMs = startedAt + arrival.atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    pending.push(sendAndRecord(cluster, arrival, finished));
  }
  const samples = await Promise.all(pending);
  clearInterval(timer);
  return samples;
}

async function sendAndRecord(
  cluster: Cluster,
  arrival: Arrival,
  finished: Set<Sample>,
): Promise<Sample> {
  const sample = { arrival, ...(await send(cluster, arrival)) };
  finished.add(sample);
  return sample;
}

/**
 * Sends a request, first through the entry of the arrival. If the connection breaks or the response
 * violates the protocol, sends it again through the next entry of the cluster, after the last one
 * through the first, until the deadline. Each entry is used at most once, except that the entry of
 * the arrival is used a second time after all others.
 */
async function send(
  cluster: Cluster,
  arrival: Arrival,
): Promise<{ answer: CallerAnswer; sends: number }> {
  const { entries } = cluster;
  const { deadlineMs } = arrival.traffic;
  const startedAt = performance.now();
  let answer: CallerAnswer;
  let sends = 0;
  do {
    const elapsedMs = performance.now() - startedAt;
    answer = await callEntry({
      address: entries[(arrival.entry + sends) % entries.length]!.address,
      token: arrival.account.token,
      template: arrival.traffic.template.name,
      input: arrival.input,
      ...(arrival.idempotencyKey !== undefined && { idempotencyKey: arrival.idempotencyKey }),
      streamed: arrival.traffic.streamed,
      timeoutMs: Math.max(1, Math.ceil(deadlineMs - elapsedMs)),
    });
    answer = { ...answer, latencyMs: performance.now() - startedAt };
    sends += 1;
  } while (answer.kind === 'broken' && sends <= entries.length && answer.latencyMs < deadlineMs);
  return { answer, sends };
}
