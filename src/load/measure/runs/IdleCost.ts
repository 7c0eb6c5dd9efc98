/** Entry and agent without any request, compared with an empty process. */
import { setTimeout as sleep } from 'node:timers/promises';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { ProbedProcess, bytesBetween } from '../ProbedProcess.js';
import { Rig } from '../Rig.js';
import type { Measurement, Point, Series } from '../Types.js';

/** Lengths of the observation, in seconds; the line leaves the cost of the start out. */
const SECONDS = [4, 8, 12];
/** Time after the start in which code is compiled and caches fill. */
const WARM_UP_MS = 15_000;
const MEGABYTE = 1_048_576;
const MS_PER_SECOND = 1000;

export const idle: Measurement = {
  description: 'entry and agent without requests: memory over an empty process, CPU, bytes',
  run: async () => {
    const empty = await ProbedProcess.start('load/measure/Idle.js', [], '/dev/null');
    const base = await empty.collected();
    const emptySeries = await observe('empty process', empty, base.rssBytes);
    await empty.stop();
    return Rig.with({ deployment: measuredDeployment() }, async (rig) => {
      await sleep(WARM_UP_MS);
      return [
        emptySeries,
        await observe('entry', rig.entry, base.rssBytes),
        await observe('agent', rig.agents.get('desk')!, base.rssBytes),
      ];
    });
  },
};

async function observe(
  name: string,
  observed: ProbedProcess,
  emptyRssBytes: number,
): Promise<Series> {
  const points: Point[] = [];
  const first = await observed.collected();
  let elapsed = 0;
  for (const seconds of SECONDS) {
    await sleep((seconds - elapsed) * MS_PER_SECOND);
    elapsed = seconds;
    const sample = await observed.sample();
    points.push({
      x: seconds,
      values: {
        cpuMs: sample.cpuMs - first.cpuMs,
        bytes: bytesBetween(first, sample),
        heapMb: sample.heapBytes / MEGABYTE,
        rssMb: sample.rssBytes / MEGABYTE,
        rssGrowthMb: (sample.rssBytes - emptyRssBytes) / MEGABYTE,
      },
    });
  }
  return { name, unit: 'seconds', points };
}
