/** Measures memory per configured account, template and server, and CPU time per change. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ChangeSubject } from '../../../common/protocol/Configuration.js';
import { accountSubject, appendChanges, templateSubject } from '../ConfigurationLog.js';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { bytesBetween } from '../ProbedProcess.js';
import { MeasuredCluster } from '../MeasuredCluster.js';
import type { Measurement, Point } from '../Types.js';

const COUNTS = [300, 1000, 3000];
const TEMPLATE_NAMES = ['three-stages', 'five-stages', 'deposit'];
const STAGES = 5;
const KILOBYTE = 1024;
/** Longer than the poll intervals of entry and agent. */
const SETTLE_MS = 5000;
/** Time after the start for compiling code and filling caches, in milliseconds. */
const WARM_UP_MS = 15_000;
const CHANGE_RATES = [0, 10, 40];
const CHANGE_SECONDS = 8;
const MS_PER_SECOND = 1000;

export const state: Measurement = {
  description: 'heap per configured account, template and server flag, at entry and agent',
  run: async (progress) => [
    await measureSubjects('accounts', progress, (index) =>
      accountSubject(`account-${index}`, TEMPLATE_NAMES),
    ),
    await measureSubjects('templates', progress, (index) =>
      templateSubject(`template-${index}`, STAGES),
    ),
    await measureSubjects('servers', progress, (index) => ({
      kind: 'server',
      value: { id: `server-${index}`, draining: false },
    })),
  ],
};

export const changes: Measurement = {
  description: 'CPU and bytes of polling and per applied change, over changes per second',
  run: (progress) =>
    MeasuredCluster.with({ deployment: measuredDeployment() }, async (cluster) => {
      // The system is designed for 270 accounts.
      const accounts = Array.from({ length: 270 }, (_unused, index) =>
        accountSubject(`account-${index}`, TEMPLATE_NAMES),
      );
      await appendChanges(cluster.table.address, accounts);
      await sleep(WARM_UP_MS);
      const points: Point[] = [];
      for (const rate of CHANGE_RATES) {
        const before = await sampleBoth(cluster);
        const startedAt = performance.now();
        await appendAtRate(cluster, rate);
        // Waits until agents, which poll less often than entries, have applied the changes.
        await sleep(SETTLE_MS);
        const after = await sampleBoth(cluster);
        const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
        points.push({
          x: (rate * CHANGE_SECONDS) / seconds,
          values: {
            entryCpuMsPerSecond: (after.entry.cpuMs - before.entry.cpuMs) / seconds,
            agentCpuMsPerSecond: (after.agent.cpuMs - before.agent.cpuMs) / seconds,
            entryBytesPerSecond:
              bytesBetween(before.entry, after.entry, cluster.tableTrafficName) / seconds,
            agentBytesPerSecond:
              bytesBetween(before.agent, after.agent, cluster.tableTrafficName) / seconds,
          },
        });
        progress(`${rate} changes/s done`);
      }
      return [{ name: 'changes', unit: 'changes/s', points }];
    }),
};

async function appendAtRate(cluster: MeasuredCluster, rate: number): Promise<void> {
  for (let second = 0; second < CHANGE_SECONDS; second += 1) {
    const subjects = Array.from({ length: rate }, (_unused, index) =>
      accountSubject(`account-${index}`, TEMPLATE_NAMES),
    );
    await appendChanges(cluster.table.address, subjects);
    await sleep(MS_PER_SECOND);
  }
}

async function sampleBoth(cluster: MeasuredCluster): Promise<Record<'entry' | 'agent', Sample>> {
  const agent = cluster.agents.get('desk')!;
  return { entry: await cluster.entry.sample(), agent: await agent.sample() };
}

type Sample = Awaited<ReturnType<MeasuredCluster['entry']['sample']>>;

function subjectsOf(
  subjectAt: (index: number) => ChangeSubject,
  first: number,
  end: number,
): ChangeSubject[] {
  return Array.from({ length: end - first }, (_unused, position) => subjectAt(first + position));
}

async function measureSubjects(
  name: string,
  progress: (line: string) => void,
  subjectAt: (index: number) => ChangeSubject,
): Promise<{ name: string; unit: string; points: Point[] }> {
  const points = await MeasuredCluster.with(
    { deployment: measuredDeployment() },
    async (cluster) => {
      const measured: Point[] = [];
      let written = 0;
      for (const count of COUNTS) {
        await appendChanges(cluster.table.address, subjectsOf(subjectAt, written, count));
        written = count;
        await sleep(SETTLE_MS);
        const entry = await cluster.entry.sampleAfterGc();
        const agent = await cluster.agents.get('desk')!.sampleAfterGc();
        measured.push({
          x: count,
          values: { entryKb: entry.heapBytes / KILOBYTE, agentKb: agent.heapBytes / KILOBYTE },
        });
        progress(`${count} ${name} done`);
      }
      return measured;
    },
  );
  return { name, unit: name, points };
}
