import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { ProbeRequest, ProbeSample, Traffic } from './ProbeSample.js';

const PROBE_URL = new URL('./Probe.js', import.meta.url).href;

/** Flags of every measured process, the empty one included. */
const NODE_FLAGS = ['--expose-gc', '--import', PROBE_URL];

/** Collections before a memory sample: the first frees what the second can give back. */
const COLLECTIONS = 3;

/** One measured process. */
export class ProbedProcess {
  private constructor(private readonly child: ChildProcess) {}

  /**
   * Starts a process and waits for its line with `"ready":true`.
   * @param script - compiled file, relative to `dist`
   * @param words - arguments
   * @param logFile - file that gets standard error
   * @returns the running process
   */
  static async start(
    script: string,
    words: readonly string[],
    logFile: string,
  ): Promise<ProbedProcess> {
    const path = fileURLToPath(new URL(`../../${script}`, import.meta.url));
    const stdio = ['ignore', 'pipe', 'pipe', 'ipc'] as ('ignore' | 'pipe' | 'ipc')[];
    const child = fork(path, [...words], { execArgv: NODE_FLAGS, stdio });
    child.stderr!.pipe(createWriteStream(logFile, { flags: 'a' }));
    for await (const line of createInterface({ input: child.stdout! })) {
      if (line.includes('"ready":true')) {
        child.stdout!.resume();
        return new ProbedProcess(child);
      }
    }
    throw new Error(`${script} ended before it was ready; see ${logFile}`);
  }

  /** @returns processor time, memory and bytes, without a collection of garbage. */
  sample(): Promise<ProbeSample> {
    return this.ask(false);
  }

  /** @returns the same after collections of garbage, for memory. */
  async collected(): Promise<ProbeSample> {
    for (let count = 1; count < COLLECTIONS; count += 1) await this.ask(true);
    return this.ask(true);
  }

  /** Ends the process. */
  async stop(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode) return;
    const exit = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exit;
  }

  private async ask(collect: boolean): Promise<ProbeSample> {
    const answer = once(this.child, 'message');
    const request: ProbeRequest = { kind: 'sample', collect };
    this.child.send(request);
    const [sample] = (await answer) as [ProbeSample];
    return sample;
  }
}

/**
 * @param before - earlier sample
 * @param after - later sample
 * @param name - `in`, `out:PORT`, or undefined for all connections
 * @returns bytes in both directions between the samples
 */
export function bytesBetween(before: ProbeSample, after: ProbeSample, name?: string): number {
  return bytesOf(after, name) - bytesOf(before, name);
}

function bytesOf({ traffic }: ProbeSample, name: string | undefined): number {
  const chosen: readonly (Traffic | undefined)[] =
    name === undefined ? Object.values(traffic) : [traffic[name]];
  return chosen.reduce((sum, item) => sum + (item ? item.readBytes + item.writtenBytes : 0), 0);
}
