/** Writes of the table service per non-idempotent call, over concurrent calls at one agent. */
import { setTimeout as sleep } from 'node:timers/promises';
import { NON_IDEMPOTENT_CALL, measuredDeployment } from '../MeasuredDeployment.js';
import { closedLoop, uniqueText } from '../Load.js';
import { bytesBetween } from '../ProbedProcess.js';
import { Rig } from '../Rig.js';
import type { Measurement, Point } from '../Types.js';

const CONCURRENCIES = [1, 8, 64];
const CALLS_PER_WORKER = 40;
/** Longest time until the last `done` rows are written. */
const SETTLE_MS = 500;

/** Time of each call of the table service; group commit needs calls that take time. */
const TABLE_MS = 5;

export const claims: Measurement = {
  description: 'table service transactions and CPU per non-idempotent call at 1, 8, 64 at a time',
  run: (progress) =>
    Rig.with({ deployment: measuredDeployment(), table: { serviceMs: TABLE_MS } }, async (rig) => {
      const agent = rig.agents.get('desk')!;
      const call = () => rig.call(NON_IDEMPOTENT_CALL, uniqueText());
      await closedLoop(8, 200, call);
      const points: Point[] = [];
      for (const concurrency of CONCURRENCIES) {
        const calls = concurrency * CALLS_PER_WORKER;
        await sleep(SETTLE_MS);
        const before = [await agent.sample(), await rig.table.counters()] as const;
        const startedAt = performance.now();
        await closedLoop(concurrency, calls, call);
        const seconds = (performance.now() - startedAt) / 1000;
        await sleep(SETTLE_MS);
        const after = [await agent.sample(), await rig.table.counters()] as const;
        points.push({
          x: concurrency,
          values: {
            callsPerSecond: calls / seconds,
            transactionsPerCall: (countOf(after[1]) - countOf(before[1])) / calls,
            agentCpuMsPerCall: (after[0].cpuMs - before[0].cpuMs) / calls,
            tableBytesPerCall: bytesBetween(before[0], after[0], rig.tablePort) / calls,
          },
        });
        progress(`${concurrency} at a time done`);
      }
      return [{ name: 'claims', unit: 'concurrent calls', points }];
    }),
};

function countOf(counters: Record<string, unknown>): number {
  return Number(counters.transactions);
}
