import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** Name, command line and log file of a process. */
export interface ProcessSpecification {
  /** Unique name, such as `entry-1`. */
  readonly name: string;
  /** Script without extension, relative to `target/src/bin`. */
  readonly binary: string;
  readonly arguments: readonly string[];
  /** Options of Node.js. */
  readonly nodeOptions: readonly string[];
  /** File that standard error is appended to. */
  readonly logFile: string;
}

const READY_TIMEOUT_MS = 15_000;

/** Child process that can be signalled, and restarted with the same arguments. */
export class ManagedProcess {
  private child: ChildProcess | undefined;

  private lastDisturbedAt = 0;

  private isFrozen = false;

  /** @param specification - name, command line and log file */
  constructor(readonly specification: ProcessSpecification) {}

  get name(): string {
    return this.specification.name;
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  /**
   * Time since the last start or signal of the process, in milliseconds; 0 while it is frozen or not
   * running.
   */
  get undisturbedMs(): number {
    return this.isRunning && !this.isFrozen ? Date.now() - this.lastDisturbedAt : 0;
  }

  /** @returns id of the process; undefined if it is not running */
  get pid(): number | undefined {
    return this.isRunning ? this.child!.pid : undefined;
  }

  /** @returns exit code of the last run; null while it runs or if a signal ended it */
  get exitCode(): number | null {
    return this.child?.exitCode ?? null;
  }

  /**
   * Starts the process and waits until it prints a JSON line with `"ready":true`.
   * @param readyTimeoutMs - longest time to wait, in milliseconds
   * @throws Error if the process runs already, exits or is not ready in time
   */
  async start(readyTimeoutMs = READY_TIMEOUT_MS): Promise<void> {
    if (this.isRunning) throw new Error(`${this.name} is already running`);
    const child = this.spawnChild();
    const ready = this.waitForReady(child);
    ready.catch(() => undefined);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(
        () => reject(new Error(`${this.name} was not ready after ${readyTimeoutMs} ms`)),
        readyTimeoutMs,
      );
    });
    try {
      await Promise.race([ready, timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Starts the process without waiting until it is ready, for restarts during an outage. */
  startWithoutWaiting(): void {
    if (this.isRunning) return;
    const log = createWriteStream(this.specification.logFile, { flags: 'a' });
    this.spawnChild().stdout!.pipe(log);
  }

  /**
   * Sends a signal to the process.
   * @param signal - signal to send
   * @returns false if the process is not running
   */
  signal(signal: NodeJS.Signals): boolean {
    if (!this.isRunning) return false;
    this.lastDisturbedAt = Date.now();
    this.isFrozen = signal === 'SIGSTOP';
    return this.child!.kill(signal);
  }

  /** Kills the process with SIGKILL, which also ends a frozen process, and waits for its exit. */
  async kill(): Promise<void> {
    if (!this.isRunning) return;
    const exit = once(this.child!, 'exit');
    this.child!.kill('SIGKILL');
    await exit;
  }

  /**
   * Resumes the process if it is frozen, sends SIGTERM, and kills it if it does not exit in time.
   * @param timeoutMs - time allowed for the graceful exit, in milliseconds
   * @returns whether the process exited in time or was not running
   */
  async terminate(timeoutMs: number): Promise<boolean> {
    if (!this.isRunning) return true;
    const exit = once(this.child!, 'exit').then(() => true);
    this.child!.kill('SIGCONT');
    this.child!.kill('SIGTERM');
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<boolean>((resolve) => {
      timer = setTimeout(() => resolve(false), timeoutMs);
    });
    const isGraceful = await Promise.race([exit, timeout]);
    clearTimeout(timer);
    if (!isGraceful) await this.kill();
    return isGraceful;
  }

  private spawnChild(): ChildProcess {
    const { binary, logFile } = this.specification;
    const script = fileURLToPath(new URL(`../../bin/${binary}.js`, import.meta.url));
    const { nodeOptions, arguments: options } = this.specification;
    const child = spawn(process.execPath, [...nodeOptions, script, ...options], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stderr.pipe(createWriteStream(logFile, { flags: 'a' }));
    this.child = child;
    this.lastDisturbedAt = Date.now();
    this.isFrozen = false;
    return child;
  }

  private async waitForReady(child: ChildProcess): Promise<void> {
    const lines = createInterface({ input: child.stdout! });
    for await (const line of lines) {
      if (isReadyLine(line)) {
        child.stdout!.resume();
        return;
      }
    }
    throw new Error(`${this.name} exited before it was ready; see ${this.specification.logFile}`);
  }
}

function isReadyLine(line: string): boolean {
  try {
    return (JSON.parse(line) as { ready?: unknown }).ready === true;
  } catch {
    return false;
  }
}
