/** Starts agents as child processes, which tests can pause and resume with signals. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSettings, waitUntilReady, type Standins } from './AgentFixture.js';

const PROGRAM = new URL('../../bin/citronstage-agent.js', import.meta.url).pathname;

const WAIT_TIMEOUT_MS = 4000;
const POLL_MS = 25;

/** Starts agents as child processes and ends them. */
export interface AgentProcesses {
  /** Starts an agent and waits until it is ready. */
  spawn(
    id: string,
    backend: string,
    fields?: Record<string, unknown>,
  ): Promise<{ child: ChildProcess; address: string }>;
  /** Kills all agents that are still running and deletes their settings files. */
  close(): Promise<void>;
}

/**
 * Creates a directory for settings files and the functions that start and end agents.
 * @param standins - services that the agents use
 */
export async function createAgentProcesses(standins: Standins): Promise<AgentProcesses> {
  const directory = await mkdtemp(join(tmpdir(), 'citronstage-agent-'));
  const children: ChildProcess[] = [];
  return {
    spawn: async (id, backend, fields = {}) => {
      const file = join(directory, `${id}.json`);
      await writeFile(file, JSON.stringify({ ...createSettings(standins, backend, fields), id }));
      const child = spawn(process.execPath, [PROGRAM, '--config', file], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      children.push(child);
      const [line] = (await once(child.stdout, 'data')) as [Buffer];
      const { address } = JSON.parse(line.toString()) as { address: string };
      await waitUntilReady(address);
      return { child, address };
    },
    close: async () => {
      for (const child of children.filter(({ exitCode }) => exitCode === null)) {
        const exited = once(child, 'exit');
        child.kill('SIGKILL');
        await exited;
      }
      await rm(directory, { recursive: true });
    },
  };
}

/**
 * Waits until a condition holds.
 * @param condition - condition, checked at short intervals
 * @throws Error if the condition does not hold within {@link WAIT_TIMEOUT_MS}
 */
export async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() >= deadline) throw new Error('the condition did not hold in time');
    await sleep(POLL_MS);
  }
}
