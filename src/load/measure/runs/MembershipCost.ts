/** Polling of the membership list by an entry, over the number of instances. */
import { setTimeout as sleep } from 'node:timers/promises';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { bytesBetween } from '../ProbedProcess.js';
import { Rig, instanceOf } from '../Rig.js';
import type { Measurement, Point } from '../Types.js';

/** The last is the design size: 750 agents and 350 entries. */
const INSTANCES = [10, 350, 1100];
const ENTRY_PART = 350 / 1100;
const SECONDS = 8;
const SETTLE_MS = 3000;
const MEGABYTE = 1_048_576;

export const membership: Measurement = {
  description: 'bytes and CPU a second of an entry that polls the membership list, over instances',
  run: (progress) =>
    Rig.with({ deployment: measuredDeployment(), withoutAgents: true }, async (rig) => {
      const points: Point[] = [];
      for (const count of INSTANCES) {
        await rig.membership.setInstances(fakeInstances(count));
        await sleep(SETTLE_MS);
        const before = await rig.entry.collected();
        await sleep(SECONDS * 1000);
        const after = await rig.entry.sample();
        points.push({
          x: count,
          values: {
            bytesPerSecond: bytesBetween(before, after, rig.membershipPort) / SECONDS,
            cpuMsPerSecond: (after.cpuMs - before.cpuMs) / SECONDS,
            heapMb: before.heapBytes / MEGABYTE,
          },
        });
        progress(`${count} instances done`);
      }
      return [{ name: 'entry', unit: 'instances', points }];
    }),
};

function fakeInstances(count: number): ReturnType<typeof instanceOf>[] {
  return Array.from({ length: count }, (_unused, position) => {
    const isEntry = position < count * ENTRY_PART;
    const address = `10.0.${Math.floor(position / 250)}.${position % 250}:7000`;
    return isEntry
      ? instanceOf(`entry-${position}`, address, 'entry')
      : instanceOf(`agent-engines-${position}`, address, 'agent', `pool-${position % 22}`);
  });
}
