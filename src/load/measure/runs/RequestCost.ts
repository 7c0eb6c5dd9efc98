/** Measures CPU time and bytes per request at the entry and at one agent. */
import { setTimeout as sleep } from 'node:timers/promises';
import { FIVE_STAGES, THREE_STAGES, measuredDeployment } from '../MeasuredDeployment.js';
import { openLoop, uniqueText } from '../LoadGenerator.js';
import { bytesBetween } from '../ProbedProcess.js';
import { MeasuredCluster } from '../MeasuredCluster.js';
import type { Measurement, Point } from '../Types.js';

const RATES_PER_SECOND = [20, 60, 120];
const SECONDS = 5;
const WARM_UP_RATE = 80;
const WARM_UP_SECONDS = 6;

export const requests: Measurement = {
  description: 'CPU and bytes per request, at the entry and at one agent, for 3 and 5 stages',
  run: (progress) =>
    MeasuredCluster.with({ deployment: measuredDeployment() }, async (cluster) => [
      {
        name: '3 stages',
        unit: 'requests/s',
        points: await measureRates(cluster, THREE_STAGES, progress),
      },
      {
        name: '5 stages',
        unit: 'requests/s',
        points: await measureRates(cluster, FIVE_STAGES, progress),
      },
    ]),
};

async function measureRates(
  cluster: MeasuredCluster,
  template: number,
  progress: (line: string) => void,
): Promise<Point[]> {
  const call = () => cluster.call(template, uniqueText());
  await openLoop(WARM_UP_RATE, WARM_UP_SECONDS, call);
  const points: Point[] = [];
  const agent = cluster.agents.get('encoders')!;
  for (const rate of RATES_PER_SECOND) {
    const before = [await cluster.entry.sample(), await agent.sample()] as const;
    const startedAt = performance.now();
    await openLoop(rate, SECONDS, call);
    // Waits for the acknowledgements, which are sent after the answers.
    await sleep(200);
    const after = [await cluster.entry.sample(), await agent.sample()] as const;
    const seconds = (performance.now() - startedAt) / 1000;
    points.push({
      x: (rate * SECONDS) / seconds,
      values: {
        entryCpuMsPerSecond: (after[0].cpuMs - before[0].cpuMs) / seconds,
        agentCpuMsPerSecond: (after[1].cpuMs - before[1].cpuMs) / seconds,
        entryBytesPerSecond: bytesBetween(before[0], after[0]) / seconds,
        agentInBytesPerSecond: bytesBetween(before[1], after[1], 'in') / seconds,
      },
    });
    progress(`${rate} requests/s done`);
  }
  return points;
}
