/** Processor time of requests at the entry and at one agent. */
import { setTimeout as sleep } from 'node:timers/promises';
import { FIVE_STAGES, THREE_STAGES, measuredDeployment } from '../MeasuredDeployment.js';
import { openLoop, uniqueText } from '../Load.js';
import { bytesBetween } from '../ProbedProcess.js';
import { Rig } from '../Rig.js';
import type { Measurement, Point } from '../Types.js';

const RATES_PER_SECOND = [20, 60, 120];
const SECONDS = 5;
const WARM_UP_RATE = 80;
const WARM_UP_SECONDS = 6;

export const requests: Measurement = {
  description: 'CPU and bytes a request, at the entry and at one agent, for 3 and 5 stages',
  run: (progress) =>
    Rig.with({ deployment: measuredDeployment() }, async (rig) => [
      {
        name: '3 stages',
        unit: 'requests/s',
        points: await measureRates(rig, THREE_STAGES, progress),
      },
      {
        name: '5 stages',
        unit: 'requests/s',
        points: await measureRates(rig, FIVE_STAGES, progress),
      },
    ]),
};

async function measureRates(
  rig: Rig,
  template: number,
  progress: (line: string) => void,
): Promise<Point[]> {
  const call = () => rig.call(template, uniqueText());
  await openLoop(WARM_UP_RATE, WARM_UP_SECONDS, call);
  const points: Point[] = [];
  const agent = rig.agents.get('encoders')!;
  for (const rate of RATES_PER_SECOND) {
    const before = [await rig.entry.sample(), await agent.sample()] as const;
    const startedAt = performance.now();
    await openLoop(rate, SECONDS, call);
    // Acknowledgements follow the answers.
    await sleep(200);
    const after = [await rig.entry.sample(), await agent.sample()] as const;
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
