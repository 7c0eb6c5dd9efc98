/** Measures the start of an entry, over the length of the configuration log. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ChangeSubject } from '../../../common/protocol/Configuration.js';
import { publish } from '../../client/OperatorClient.js';
import { accountSubject, appendChanges } from '../ConfigurationLog.js';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { bytesBetween } from '../ProbedProcess.js';
import { MeasuredCluster, whenReady } from '../MeasuredCluster.js';
import type { Measurement, Point } from '../Types.js';

const LOG_LENGTHS = [1000, 10_000, 100_000];
/** Number of accounts that the changes of the log update in turn. */
const ACCOUNTS = 270;
const TEMPLATES = ['three-stages', 'five-stages', 'deposit'];
/** Maximum time for the running entry to read the appended changes. */
const CATCH_UP_TIMEOUT_MS = 40_000;
const RETRY_DELAY_MS = 500;
const MEGABYTE = 1_048_576;

export const start: Measurement = {
  description: 'time, CPU and bytes until a new entry is ready, over changes in the log',
  run: (progress) =>
    MeasuredCluster.with(
      { deployment: measuredDeployment(), withoutAgents: true },
      async (cluster) => {
        const points: Point[] = [];
        let written = 0;
        for (const length of LOG_LENGTHS) {
          const head = await appendChanges(cluster.table.address, subjectsOf(written, length));
          written = length;
          await publishThroughEntry(cluster, head);
          const startedAt = performance.now();
          const started = await cluster.startProcess('entry', cluster.entrySettings());
          await whenReady(started.address);
          const readyMs = performance.now() - startedAt;
          const sample = await started.process.sample();
          const collected = await started.process.sampleAfterGc();
          points.push({
            x: length,
            values: {
              readyMs,
              cpuMs: sample.cpuMs,
              tableMb: megabytesOf(sample, cluster.tableTrafficName),
              rssMb: sample.rssBytes / MEGABYTE,
              heapMb: collected.heapBytes / MEGABYTE,
            },
          });
          await started.process.stop();
          progress(`${length} changes done`);
        }
        return [{ name: 'entry', unit: 'changes', points }];
      },
    ),
};

/**
 * Publishes a change through the entry, so that everything a publisher writes besides the log
 * exists.
 */
async function publishThroughEntry(cluster: MeasuredCluster, head: number): Promise<void> {
  const deadline = performance.now() + CATCH_UP_TIMEOUT_MS;
  for (;;) {
    const answer = await publish(cluster.entryAddress, head, subjectAt(0));
    if (answer.status === 200) break;
    if (performance.now() > deadline) throw new Error(JSON.stringify(answer));
    await sleep(RETRY_DELAY_MS);
  }
  await sleep(RETRY_DELAY_MS);
}

function subjectsOf(first: number, end: number): ChangeSubject[] {
  return Array.from({ length: end - first }, (_unused, position) => subjectAt(first + position));
}

function subjectAt(position: number): ChangeSubject {
  return accountSubject(`account-${position % ACCOUNTS}`, TEMPLATES);
}

function megabytesOf(sample: Parameters<typeof bytesBetween>[1], trafficName: string): number {
  return bytesBetween({ ...sample, traffic: {} }, sample, trafficName) / MEGABYTE;
}
