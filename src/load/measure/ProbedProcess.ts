import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { ProbeRequest, ProbeSample, Traffic } from './ProbeSample.js';

const PROBE_URL = new URL('./Probe.js', import.meta.url).href;

/**
 * Node.js flags of every measured process, including the baseline process without application code.
 */
const NODE_FLAGS = ['--expose-gc', '--import', PROBE_URL];

/**
 * Number of garbage collections before a memory sample. Several are needed because memory freed by
 * one collection is only released by the next.
 */
const GC_PASSES = 3;

/** A child process with the probe loaded. */
export class ProbedProcess {
  private constructor(private readonly child: ChildProcess) {}

  /**
   * Starts a process and waits until it prints a line with `"ready":true`.
   * @param script - compiled file, relative to `dist`
   * @param args - command-line arguments
   * @param logFile - file to which standard error is appended
   * @returns the running process
   * @throws Error if the process ends before it is ready
   */
  static async start(
    script: string,
    args: readonly string[],
    logFile: string,
  ): Promise<ProbedProcess> {
    const path = fileURLToPath(new URL(`../../${script}`, import.meta.url));
    const stdio = ['ignore', 'pipe', 'pipe', 'ipc'] as ('ignore' | 'pipe' | 'ipc')[];
    const child = fork(path, [...args], { execArgv: NODE_FLAGS, stdio });
    child.stderr!.pipe(createWriteStream(logFile, { flags: 'a' }));
    for await (const line of createInterface({ input: child.stdout! })) {
      if (line.includes('"ready":true')) {
        child.stdout!.resume();
        return new ProbedProcess(child);
      }
    }
    throw new Error(`${script} ended before it was ready; see ${logFile}`);
  }

  /** @returns CPU time, memory and traffic, sampled without garbage collection */
  sample(): Promise<ProbeSample> {
    return this.requestSample(false);
  }

  /** @returns CPU time, memory and traffic, sampled after garbage collection */
  async sampleAfterGc(): Promise<ProbeSample> {
    for (let count = 1; count < GC_PASSES; count += 1) await this.requestSample(true);
    return this.requestSample(true);
  }

  /** Kills the process and waits until it has exited. */
  async stop(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode) return;
    const exit = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exit;
  }

  private async requestSample(collect: boolean): Promise<ProbeSample> {
    const answer = once(this.child, 'message');
    const request: ProbeRequest = { kind: 'sample', collect };
    this.child.send(request);
    const [sample] = (await answer) as [ProbeSample];
    return sample;
  }
}

/**
 * Returns the traffic between two samples.
 * @param before - earlier sample
 * @param after - later sample
 * @param name - traffic name: `in`, `out:PORT`, or undefined for all connections
 * @returns bytes read and written between the samples
 */
export function bytesBetween(before: ProbeSample, after: ProbeSample, name?: string): number {
  return bytesOf(after, name) - bytesOf(before, name);
}

function bytesOf({ traffic }: ProbeSample, name: string | undefined): number {
  const chosen: readonly (Traffic | undefined)[] =
    name === undefined ? Object.values(traffic) : [traffic[name]];
  return chosen.reduce((sum, item) => sum + (item ? item.readBytes + item.writtenBytes : 0), 0);
}
