/** Start of a process, over the length of the configuration log. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ChangeSubject } from '../../../common/protocol/Configuration.js';
import { publish } from '../../client/OperatorClient.js';
import { accountSubject, appendChanges } from '../ConfigurationLog.js';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { bytesBetween } from '../ProbedProcess.js';
import { Rig, whenReady } from '../Rig.js';
import type { Measurement, Point } from '../Types.js';

const LOG_LENGTHS = [1000, 10_000, 100_000];
/** Accounts that the changes of the log are about. */
const ACCOUNTS = 270;
const TEMPLATES = ['three-stages', 'five-stages', 'deposit'];
/** Time for the running entry to read the appended changes. */
const CATCH_UP_MS = 40_000;
const RETRY_MS = 500;
const MEGABYTE = 1_048_576;

export const start: Measurement = {
  description: 'time, CPU and bytes until a new entry is ready, over changes in the log',
  run: (progress) =>
    Rig.with({ deployment: measuredDeployment(), withoutAgents: true }, async (rig) => {
      const points: Point[] = [];
      let written = 0;
      for (const length of LOG_LENGTHS) {
        const head = await appendChanges(rig.table.address, subjectsOf(written, length));
        written = length;
        await publishOne(rig, head);
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

/** Publishes as operators do, so that whatever a publisher maintains besides the log exists. */
async function publishOne(rig: Rig, head: number): Promise<void> {
  const giveUpAt = performance.now() + CATCH_UP_MS;
  for (;;) {
    const answer = await publish(rig.entryAddress, head, subjectAt(0));
    if (answer.status === 200) break;
    if (performance.now() > giveUpAt) throw new Error(JSON.stringify(answer));
    await sleep(RETRY_MS);
  }
  await sleep(RETRY_MS);
}

function subjectsOf(first: number, end: number): ChangeSubject[] {
  return Array.from({ length: end - first }, (_unused, position) => subjectAt(first + position));
}

function subjectAt(position: number): ChangeSubject {
  return accountSubject(`account-${position % ACCOUNTS}`, TEMPLATES);
}

function sumOf(sample: Parameters<typeof bytesBetween>[1], port: string): number {
  return bytesBetween({ ...sample, traffic: {} }, sample, port) / MEGABYTE;
}
