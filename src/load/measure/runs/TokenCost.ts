/** Measures CPU time and bytes per streamed token at the entry and at the agent. */
import { FIRST_GENERATION, GENERATED_TOKENS, measuredDeployment } from '../MeasuredDeployment.js';
import { openLoop, uniqueText } from '../LoadGenerator.js';
import { bytesBetween } from '../ProbedProcess.js';
import { MeasuredCluster } from '../MeasuredCluster.js';
import type { Measurement, Point } from '../Types.js';

const RATE_PER_SECOND = 10;
const SECONDS = 5;
const WARM_UP_SECONDS = 6;

export const tokens: Measurement = {
  description: 'CPU and bytes per streamed token, at the entry and at the agent',
  run: (progress) =>
    MeasuredCluster.with({ deployment: measuredDeployment() }, async (cluster) => {
      const points: Point[] = [];
      const agent = cluster.agents.get('engines')!;
      const warmUp = () => cluster.call(FIRST_GENERATION + 1, uniqueText());
      await openLoop(RATE_PER_SECOND, WARM_UP_SECONDS, warmUp);
      for (const [position, count] of GENERATED_TOKENS.entries()) {
        const before = [await cluster.entry.sample(), await agent.sample()] as const;
        const call = () => cluster.call(FIRST_GENERATION + position, uniqueText());
        const calls = await openLoop(RATE_PER_SECOND, SECONDS, call);
        const after = [await cluster.entry.sample(), await agent.sample()] as const;
        points.push({
          x: count,
          values: {
            entryCpuMsPerRequest: (after[0].cpuMs - before[0].cpuMs) / calls,
            agentCpuMsPerRequest: (after[1].cpuMs - before[1].cpuMs) / calls,
            agentToEntryBytesPerRequest: bytesBetween(before[1], after[1], 'in') / calls,
          },
        });
        progress(`${count} tokens done`);
      }
      return [{ name: 'streamed generation', unit: 'tokens', points }];
    }),
};
