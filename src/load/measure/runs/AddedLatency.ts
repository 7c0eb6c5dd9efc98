/**
 * Measures the latency that entry and agent add to a completion, compared with direct calls in the
 * same run.
 */
import { request, Agent } from 'undici';
import { SHORT_GENERATION, measuredDeployment } from '../MeasuredDeployment.js';
import { closedLoop, uniqueText } from '../LoadGenerator.js';
import { quantile } from '../Statistics.js';
import { MODEL } from '../../deployment/Templates.js';
import { MeasuredCluster } from '../MeasuredCluster.js';
import type { Measurement, Point } from '../Types.js';

const CONCURRENCIES = [1, 16, 64];
const CALLS = 800;
const WARM_UP_CALLS = 600;
const dispatcher = new Agent({ connections: 128, pipelining: 1 });

export const latency: Measurement = {
  description:
    'latency of a one-token completion, through entry and agent and directly to the engine',
  run: (progress) =>
    MeasuredCluster.with({ deployment: measuredDeployment() }, async (cluster) => {
      const engine = cluster.backends.get('engines')!;
      await closedLoop(16, WARM_UP_CALLS, () => cluster.call(SHORT_GENERATION, uniqueText()));
      const points: Point[] = [];
      for (const concurrency of CONCURRENCIES) {
        const direct = await measure(concurrency, () => completeDirectly(engine));
        const through = await measure(concurrency, () =>
          cluster.call(SHORT_GENERATION, uniqueText()),
        );
        points.push({ x: concurrency, values: compare(direct, through) });
        progress(`${concurrency} at a time done`);
      }
      return [{ name: 'one-token completion', unit: 'concurrent calls', points }];
    }),
};

function compare(direct: readonly number[], through: readonly number[]): Record<string, number> {
  const [direct50, direct95] = [quantile(direct, 0.5), quantile(direct, 0.95)];
  const [through50, through95] = [quantile(through, 0.5), quantile(through, 0.95)];
  return {
    directP50Ms: direct50,
    throughP50Ms: through50,
    addedP50Ms: through50 - direct50,
    ratioP50: through50 / direct50,
    directP95Ms: direct95,
    throughP95Ms: through95,
    addedP95Ms: through95 - direct95,
    ratioP95: through95 / direct95,
  };
}

async function measure(concurrency: number, call: () => Promise<unknown>): Promise<number[]> {
  const times: number[] = [];
  await closedLoop(concurrency, CALLS, async () => {
    const startedAt = performance.now();
    await call();
    times.push(performance.now() - startedAt);
  });
  return times;
}

async function completeDirectly(engine: string): Promise<void> {
  const id = uniqueText();
  const response = await request(`http://${engine}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      model: MODEL,
      prompt: `What does order ${id} need?`,
      max_tokens: 1,
      stream: true,
      request_id: id,
    }),
    dispatcher,
  });
  await response.body.text();
}
