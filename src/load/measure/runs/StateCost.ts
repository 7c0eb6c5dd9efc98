/** Memory of configured accounts, templates and known servers, and processor time of changes. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ChangeSubject } from '../../../common/protocol/Configuration.js';
import { accountSubject, appendChanges, templateSubject } from '../ConfigurationLog.js';
import { measuredDeployment } from '../MeasuredDeployment.js';
import { bytesBetween } from '../ProbedProcess.js';
import { Rig } from '../Rig.js';
import type { Measurement, Point } from '../Types.js';

const COUNTS = [300, 1000, 3000];
const TEMPLATE_NAMES = ['three-stages', 'five-stages', 'deposit'];
const STAGES = 5;
const KILOBYTE = 1024;
/** Longer than the poll intervals of entry and agent. */
const SETTLE_MS = 5000;
/** Time after the start in which code is compiled and caches fill. */
const WARM_UP_MS = 15_000;
const CHANGE_RATES = [0, 10, 40];
const CHANGE_SECONDS = 8;
const MS_PER_SECOND = 1000;

export const state: Measurement = {
  description: 'heap a configured account, template and server flag, at entry and agent',
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
  description: 'CPU and bytes of polling and of each applied change, over changes a second',
  run: (progress) =>
    Rig.with({ deployment: measuredDeployment() }, async (rig) => {
      // The design size has 270 accounts.
      const known = Array.from({ length: 270 }, (_unused, index) =>
        accountSubject(`account-${index}`, TEMPLATE_NAMES),
      );
      await appendChanges(rig.table.address, known);
      await sleep(WARM_UP_MS);
      const points: Point[] = [];
      for (const rate of CHANGE_RATES) {
        const before = await sampleBoth(rig);
        const startedAt = performance.now();
        await appendAtRate(rig, rate);
        // Agents poll more slowly than entries.
        await sleep(SETTLE_MS);
        const after = await sampleBoth(rig);
        const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
        points.push({
          x: (rate * CHANGE_SECONDS) / seconds,
          values: {
            entryCpuMsPerSecond: (after.entry.cpuMs - before.entry.cpuMs) / seconds,
            agentCpuMsPerSecond: (after.agent.cpuMs - before.agent.cpuMs) / seconds,
            entryBytesPerSecond: bytesBetween(before.entry, after.entry, rig.tablePort) / seconds,
            agentBytesPerSecond: bytesBetween(before.agent, after.agent, rig.tablePort) / seconds,
          },
        });
        progress(`${rate} changes/s done`);
      }
      return [{ name: 'changes', unit: 'changes/s', points }];
    }),
};

async function appendAtRate(rig: Rig, rate: number): Promise<void> {
  for (let second = 0; second < CHANGE_SECONDS; second += 1) {
    const subjects = Array.from({ length: rate }, (_unused, index) =>
      accountSubject(`account-${index}`, TEMPLATE_NAMES),
    );
    await appendChanges(rig.table.address, subjects);
    await sleep(MS_PER_SECOND);
  }
}

async function sampleBoth(rig: Rig): Promise<Record<'entry' | 'agent', Sample>> {
  const agent = rig.agents.get('desk')!;
  return { entry: await rig.entry.sample(), agent: await agent.sample() };
}

type Sample = Awaited<ReturnType<Rig['entry']['sample']>>;

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
  const points = await Rig.with({ deployment: measuredDeployment() }, async (rig) => {
    const measured: Point[] = [];
    let written = 0;
    for (const count of COUNTS) {
      await appendChanges(rig.table.address, subjectsOf(subjectAt, written, count));
      written = count;
      await sleep(SETTLE_MS);
      const entry = await rig.entry.collected();
      const agent = await rig.agents.get('desk')!.collected();
      measured.push({
        x: count,
        values: { entryKb: entry.heapBytes / KILOBYTE, agentKb: agent.heapBytes / KILOBYTE },
      });
      progress(`${count} ${name} done`);
    }
    return measured;
  });
  return { name, unit: name, points };
}
