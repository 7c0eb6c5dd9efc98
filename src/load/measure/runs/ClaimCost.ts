/**
 * Measures table service transactions per non-idempotent call, over concurrent calls at one agent.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { NON_IDEMPOTENT_CALL, measuredDeployment } from '../MeasuredDeployment.js';
import { closedLoop, uniqueText } from '../LoadGenerator.js';
import { bytesBetween } from '../ProbedProcess.js';
import { MeasuredCluster } from '../MeasuredCluster.js';
import type { Measurement, Point } from '../Types.js';

const CONCURRENCIES = [1, 8, 64];
const CALLS_PER_WORKER = 40;
/** Wait until the last `done` rows are written, in milliseconds. */
const SETTLE_MS = 500;

/**
 * Service time of the table service in milliseconds. Group commit batches only while a call is in
 * progress.
 */
const TABLE_SERVICE_MS = 5;

export const claims: Measurement = {
  description:
    'table service transactions and CPU per non-idempotent call, at 1, 8 and 64 concurrent calls',
  run: (progress) =>
    MeasuredCluster.with(
      { deployment: measuredDeployment(), table: { serviceMs: TABLE_SERVICE_MS } },
      async (cluster) => {
        const agent = cluster.agents.get('desk')!;
        const call = () => cluster.call(NON_IDEMPOTENT_CALL, uniqueText());
        await closedLoop(8, 200, call);
        const points: Point[] = [];
        for (const concurrency of CONCURRENCIES) {
          const calls = concurrency * CALLS_PER_WORKER;
          await sleep(SETTLE_MS);
          const before = [await agent.sample(), await cluster.table.counters()] as const;
          const startedAt = performance.now();
          await closedLoop(concurrency, calls, call);
          const seconds = (performance.now() - startedAt) / 1000;
          await sleep(SETTLE_MS);
          const after = [await agent.sample(), await cluster.table.counters()] as const;
          points.push({
            x: concurrency,
            values: {
              callsPerSecond: calls / seconds,
              transactionsPerCall: (transactionsOf(after[1]) - transactionsOf(before[1])) / calls,
              agentCpuMsPerCall: (after[0].cpuMs - before[0].cpuMs) / calls,
              tableBytesPerCall:
                bytesBetween(before[0], after[0], cluster.tableTrafficName) / calls,
            },
          });
          progress(`${concurrency} at a time done`);
        }
        return [{ name: 'claims', unit: 'concurrent calls', points }];
      },
    ),
};

function transactionsOf(counters: Record<string, unknown>): number {
  return Number(counters.transactions);
}
