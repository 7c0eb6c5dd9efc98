/** Sends arrivals at their times, whether or not earlier ones are finished. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { callEntry, type CallerAnswer } from '../client/CallerClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { Arrival, Sample } from './Types.js';

const PROGRESS_INTERVAL_MS = 10_000;

/**
 * Runs the load.
 * @param cluster - running cluster
 * @param arrivals - requests in the order of arrival
 * @param progress - gets a line every 10 s
 * @returns one sample for each arrival
 */
export async function runLoad(
  cluster: Cluster,
  arrivals: readonly Arrival[],
  progress: (message: string) => void,
): Promise<Sample[]> {
  const startedAt = performance.now();
  const open: Promise<Sample>[] = [];
  const finished = new Set<Sample>();
  const timer = setInterval(() => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(0);
    progress(`${seconds} s: ${open.length} of ${arrivals.length} sent, ${finished.size} finished`);
  }, PROGRESS_INTERVAL_MS);
  for (const arrival of arrivals) {
    const waitMs = startedAt + arrival.atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    open.push(sendAndRecord(cluster, arrival, finished));
  }
  const samples = await Promise.all(open);
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

/** Sends a request; after a broken connection again through the next entry while there is time. */
async function send(
  cluster: Cluster,
  arrival: Arrival,
): Promise<{ answer: CallerAnswer; sends: number }> {
  const { entries } = cluster;
  const { deadlineMs } = arrival.traffic;
  const startedAt = performance.now();
  let answer: CallerAnswer;
  let hop = 0;
  do {
    const elapsedMs = performance.now() - startedAt;
    answer = await callEntry({
      address: entries[(arrival.entry + hop) % entries.length]!.address,
      token: arrival.account.token,
      template: arrival.traffic.template.name,
      input: arrival.input,
      ...(arrival.idempotencyKey !== undefined && { idempotencyKey: arrival.idempotencyKey }),
      streamed: arrival.traffic.streamed,
      timeoutMs: Math.max(1, Math.ceil(deadlineMs - elapsedMs)),
    });
    answer = { ...answer, latencyMs: performance.now() - startedAt };
    hop += 1;
  } while (answer.kind === 'broken' && hop <= entries.length && answer.latencyMs < deadlineMs);
  return { answer, sends: hop };
}
