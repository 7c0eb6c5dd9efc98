import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ManagedProcess } from './ManagedProcess.js';

/** Name of the temporary folder; the operating system adds a random suffix. */
const FOLDER_PREFIX = 'citronstage-load-';

const ENDING_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/** Owns a fresh temporary folder and every process started from it, and ends them all by id. */
export class Launcher {
  private readonly processes = new Map<string, ManagedProcess>();

  private readonly killOnExit = (): void => {
    this.processes.forEach((child) => child.signal('SIGKILL'));
  };

  /** A signal ends this process without the event `exit`, so that its children would stay. */
  private readonly exitOnSignal = (): void => {
    process.exit(1);
  };

  private constructor(readonly folder: string) {
    process.once('exit', this.killOnExit);
    ENDING_SIGNALS.forEach((signal) => process.once(signal, this.exitOnSignal));
  }

  /** @returns launcher with a folder of its own. */
  static async create(): Promise<Launcher> {
    return new Launcher(await mkdtemp(join(tmpdir(), FOLDER_PREFIX)));
  }

  /**
   * Writes a settings file and prepares a process that reads it.
   * @param name - unique name of the process
   * @param binary - file without extension, relative to `target/src/bin`
   * @param settings - content of the settings file
   * @param subcommand - arguments before `--config`
   * @returns process that is not started yet
   */
  async define(
    name: string,
    binary: string,
    settings: unknown,
    subcommand: readonly string[] = [],
  ): Promise<ManagedProcess> {
    const settingsFile = join(this.folder, `${name}.jsonc`);
    await writeFile(settingsFile, JSON.stringify(settings, null, 2));
    const child = new ManagedProcess({
      name,
      binary,
      arguments: [...subcommand, '--config', settingsFile],
      logFile: join(this.folder, `${name}.log`),
    });
    this.processes.set(name, child);
    return child;
  }

  /**
   * @param name - name given to {@link define}
   * @returns the process
   * @throws Error if there is none
   */
  process(name: string): ManagedProcess {
    const child = this.processes.get(name);
    if (!child) throw new Error(`no process is called ${name}`);
    return child;
  }

  /**
   * Ends every process and removes the folder.
   * @param keepFolder - keeps settings and logs for inspection
   */
  async dispose(keepFolder = false): Promise<void> {
    await Promise.all([...this.processes.values()].map((child) => child.kill()));
    process.off('exit', this.killOnExit);
    ENDING_SIGNALS.forEach((signal) => process.off(signal, this.exitOnSignal));
    if (!keepFolder) await rm(this.folder, { recursive: true, force: true });
  }
}
