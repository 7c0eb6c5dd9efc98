import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** How to start a process. */
export interface ProcessSpecification {
  /** Unique name, such as `entry-1`. */
  readonly name: string;
  /** File without extension, relative to `target/src/bin`. */
  readonly binary: string;
  readonly arguments: readonly string[];
  /** File that gets standard error. */
  readonly logFile: string;
}

const READY_TIMEOUT_MS = 15_000;

/** One child process that can be signalled by its id and started again with the same arguments. */
export class ManagedProcess {
  private child: ChildProcess | undefined;

  private lastDisturbedAt = 0;

  private isFrozen = false;

  /** @param specification - what to start */
  constructor(readonly specification: ProcessSpecification) {}

  get name(): string {
    return this.specification.name;
  }

  get running(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  /** How long it has run without a start or a signal, in milliseconds; 0 while it is frozen or ended. */
  get undisturbedMs(): number {
    return this.running && !this.isFrozen ? Date.now() - this.lastDisturbedAt : 0;
  }

  /** @returns id of the running process. */
  get pid(): number | undefined {
    return this.running ? this.child!.pid : undefined;
  }

  /** @returns exit code of the last run; null if it runs or was ended by a signal. */
  get exitCode(): number | null {
    return this.child?.exitCode ?? null;
  }

  /**
   * Starts the process and waits for its line with `"ready":true`.
   * @param readyTimeoutMs - longest time to wait
   * @throws Error if the process exits or is not ready in time
   */
  async start(readyTimeoutMs = READY_TIMEOUT_MS): Promise<void> {
    if (this.running) throw new Error(`${this.name} is running already`);
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

  /** Starts the process without waiting for readiness, for starts during an outage. */
  startUnready(): void {
    if (this.running) return;
    const log = createWriteStream(this.specification.logFile, { flags: 'a' });
    this.spawnChild().stdout!.pipe(log);
  }

  /**
   * @param signal - signal to send
   * @returns false if the process does not run
   */
  signal(signal: NodeJS.Signals): boolean {
    if (!this.running) return false;
    this.lastDisturbedAt = Date.now();
    this.isFrozen = signal === 'SIGSTOP';
    return this.child!.kill(signal);
  }

  /** Ends the process at once and waits for its end; a frozen process is ended as well. */
  async kill(): Promise<void> {
    if (!this.running) return;
    const exit = once(this.child!, 'exit');
    this.child!.kill('SIGKILL');
    await exit;
  }

  /**
   * Asks the process to end and kills it if it does not.
   * @param timeoutMs - time allowed for the graceful end
   * @returns true if it ended by itself
   */
  async terminate(timeoutMs: number): Promise<boolean> {
    if (!this.running) return true;
    const exit = once(this.child!, 'exit').then(() => true);
    this.child!.kill('SIGCONT');
    this.child!.kill('SIGTERM');
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<boolean>((resolve) => {
      timer = setTimeout(() => resolve(false), timeoutMs);
    });
    const graceful = await Promise.race([exit, timeout]);
    clearTimeout(timer);
    if (!graceful) await this.kill();
    return graceful;
  }

  private spawnChild(): ChildProcess {
    const { binary, logFile } = this.specification;
    const script = fileURLToPath(new URL(`../../bin/${binary}.js`, import.meta.url));
    const child = spawn(process.execPath, [script, ...this.specification.arguments], {
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
    throw new Error(`${this.name} ended before it was ready; see ${this.specification.logFile}`);
  }
}

function isReadyLine(line: string): boolean {
  try {
    return (JSON.parse(line) as { ready?: unknown }).ready === true;
  } catch {
    return false;
  }
}
