/** Measures how much polling the membership list costs an entry, over the number of instances. */
import { setTimeout as sleep } from 'node:timers/promises';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { bytesBetween } from '../ProbedProcess.js';
import { MeasuredCluster, instanceOf } from '../MeasuredCluster.js';
import type { Measurement, Point } from '../Types.js';

/**
 * Numbers of instances. The last is the size that the system is designed for: 750 agents and 350
 * entries.
 */
const INSTANCE_COUNTS = [10, 350, 1100];
const ENTRY_FRACTION = 350 / 1100;
const SECONDS = 8;
const SETTLE_MS = 3000;
const MEGABYTE = 1_048_576;

export const membership: Measurement = {
  description:
    'bytes and CPU per second of an entry that polls the membership list, over instances',
  run: (progress) =>
    MeasuredCluster.with(
      { deployment: measuredDeployment(), withoutAgents: true },
      async (cluster) => {
        const points: Point[] = [];
        for (const count of INSTANCE_COUNTS) {
          await cluster.membership.setInstances(syntheticInstances(count));
          await sleep(SETTLE_MS);
          const before = await cluster.entry.sampleAfterGc();
          await sleep(SECONDS * 1000);
          const after = await cluster.entry.sample();
          points.push({
            x: count,
            values: {
              bytesPerSecond: bytesBetween(before, after, cluster.membershipTrafficName) / SECONDS,
              cpuMsPerSecond: (after.cpuMs - before.cpuMs) / SECONDS,
              heapMb: before.heapBytes / MEGABYTE,
            },
          });
          progress(`${count} instances done`);
        }
        return [{ name: 'entry', unit: 'instances', points }];
      },
    ),
};

function syntheticInstances(count: number): ReturnType<typeof instanceOf>[] {
  return Array.from({ length: count }, (_unused, position) => {
    const isEntry = position < count * ENTRY_FRACTION;
    const address = `10.0.${Math.floor(position / 250)}.${position % 250}:7000`;
    return isEntry
      ? instanceOf(`entry-${position}`, address, 'entry')
      : instanceOf(`agent-engines-${position}`, address, 'agent', `pool-${position % 22}`);
  });
}
