/** Measures entry and agent without requests, compared with an empty process. */
import { setTimeout as sleep } from 'node:timers/promises';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { ProbedProcess, bytesBetween } from '../ProbedProcess.js';
import { MeasuredCluster } from '../MeasuredCluster.js';
import type { Measurement, Point, Series } from '../Types.js';

/**
 * Times of the samples, in seconds; the slope of the fitted line excludes the cost of the start.
 */
const SECONDS = [4, 8, 12];
/** Time after the start for compiling code and filling caches, in milliseconds. */
const WARM_UP_MS = 15_000;
const MEGABYTE = 1_048_576;
const MS_PER_SECOND = 1000;

export const idle: Measurement = {
  description:
    'entry and agent without requests: memory compared with an empty process, CPU, bytes',
  run: async () => {
    const empty = await ProbedProcess.start('load/measure/EmptyProcess.js', [], '/dev/null');
    const base = await empty.sampleAfterGc();
    const emptySeries = await observe('empty process', empty, base.rssBytes);
    await empty.stop();
    return MeasuredCluster.with({ deployment: measuredDeployment() }, async (cluster) => {
      await sleep(WARM_UP_MS);
      return [
        emptySeries,
        await observe('entry', cluster.entry, base.rssBytes),
        await observe('agent', cluster.agents.get('desk')!, base.rssBytes),
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
  const first = await observed.sampleAfterGc();
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
