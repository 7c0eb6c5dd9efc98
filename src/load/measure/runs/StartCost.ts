/** Start of a process, over the length of the configuration log. */
import type { ChangeSubject } from '../../../common/protocol/Configuration.js';
import { accountSubject, appendChanges } from '../ConfigurationLog.js';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { bytesBetween } from '../ProbedProcess.js';
import { Rig, whenReady } from '../Rig.js';
import type { Measurement, Point } from '../Types.js';

const LOG_LENGTHS = [1000, 10_000, 100_000];
/** Accounts that the changes of the log are about. */
const ACCOUNTS = 270;
const TEMPLATES = ['three-stages', 'five-stages', 'deposit'];
const MEGABYTE = 1_048_576;

export const start: Measurement = {
  description: 'time, CPU and bytes until a new entry is ready, over changes in the log',
  run: (progress) =>
    Rig.with({ deployment: measuredDeployment(), withoutAgents: true }, async (rig) => {
      const points: Point[] = [];
      let written = 0;
      for (const length of LOG_LENGTHS) {
        await appendChanges(rig.table.address, subjectsOf(written, length));
        written = length;
        const startedAt = performance.now();
        const started = await rig.startProcess('entry', rig.entrySettings());
        await whenReady(started.address);
        const readyMs = performance.now() - startedAt;
        const sample = await started.process.sample();
        const collected = await started.process.collected();
        points.push({
          x: length,
          values: {
            readyMs,
            cpuMs: sample.cpuMs,
            tableMb: sumOf(sample, rig.tablePort),
            rssMb: sample.rssBytes / MEGABYTE,
            heapMb: collected.heapBytes / MEGABYTE,
          },
        });
        await started.process.stop();
        progress(`${length} changes done`);
      }
      return [{ name: 'entry', unit: 'changes', points }];
    }),
};

function subjectsOf(first: number, end: number): ChangeSubject[] {
  return Array.from({ length: end - first }, (_unused, position) => subjectAt(first + position));
}

function subjectAt(position: number): ChangeSubject {
  return accountSubject(`account-${position % ACCOUNTS}`, TEMPLATES);
}

function sumOf(sample: Parameters<typeof bytesBetween>[1], port: string): number {
  return bytesBetween({ ...sample, traffic: {} }, sample, port) / MEGABYTE;
}
