import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ManagedProcess } from './ManagedProcess.js';

/** Name of the temporary folder; the operating system adds a random suffix. */
const FOLDER_PREFIX = 'citronstage-load-';

const ENDING_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/** Manages a temporary folder and the processes defined in it, and ends all of them on disposal. */
export class Launcher {
  private readonly processes = new Map<string, ManagedProcess>();

  private readonly killOnExit = (): void => {
    this.processes.forEach((child) => child.signal('SIGKILL'));
  };

  /** Exits on a signal: its default action skips the `exit` event, which would leave orphans. */
  private readonly exitOnSignal = (): void => {
    process.exit(1);
  };

  private constructor(readonly folder: string) {
    process.once('exit', this.killOnExit);
    ENDING_SIGNALS.forEach((signal) => process.once(signal, this.exitOnSignal));
  }

  /** @returns launcher with a new temporary folder */
  static async create(): Promise<Launcher> {
    return new Launcher(await mkdtemp(join(tmpdir(), FOLDER_PREFIX)));
  }

  /**
   * Writes a settings file and defines a process that reads it.
   * @param name - unique name of the process
   * @param binary - script without extension, relative to `target/src/bin`
   * @param settings - content of the settings file
   * @param subcommand - arguments before `--config`
   * @param nodeOptions - options of Node.js
   * @returns the process, not started
   */
  async define(
    name: string,
    binary: string,
    settings: unknown,
    subcommand: readonly string[] = [],
    nodeOptions: readonly string[] = [],
  ): Promise<ManagedProcess> {
    const settingsFile = join(this.folder, `${name}.jsonc`);
    await writeFile(settingsFile, JSON.stringify(settings, null, 2));
    const child = new ManagedProcess({
      name,
      binary,
      arguments: [...subcommand, '--config', settingsFile],
      nodeOptions,
      logFile: join(this.folder, `${name}.log`),
    });
    this.processes.set(name, child);
    return child;
  }

  /**
   * @param name - name given to {@link define}
   * @returns the process
   * @throws Error if no process has this name
   */
  process(name: string): ManagedProcess {
    const child = this.processes.get(name);
    if (!child) throw new Error(`no process named ${name}`);
    return child;
  }

  /**
   * Kills every process and removes the folder.
   * @param keepFolder - whether to keep settings and logs for inspection
   */
  async dispose(keepFolder = false): Promise<void> {
    await Promise.all([...this.processes.values()].map((child) => child.kill()));
    process.off('exit', this.killOnExit);
    ENDING_SIGNALS.forEach((signal) => process.off(signal, this.exitOnSignal));
    if (!keepFolder) await rm(this.folder, { recursive: true, force: true });
  }
}
