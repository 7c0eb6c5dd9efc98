/** One run of the soak: callers, faults, recovery and the verdict. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from 'undici';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { EXTRA_KEY, FAULT_ACTIONS } from './FaultActions.js';
import { createFaultSeries } from './FaultSeries.js';
import { BOUNDS, findViolations, type DeploymentLimits } from './PromiseChecks.js';
import { SoakCallers } from './SoakCallers.js';
import {
  REQUEST_KINDS,
  type RequestKind,
  type SoakDeployment,
  type SoakHistory,
  type SoakProcess,
} from './Types.js';

/** Key that every configuration holds. */
export const USUAL_KEY = { key: 'key-1', account: 'account-1' } as const;

const POLL_MS = 100;

/** A turn of the soak that comes this much too late is counted as a stall, in ms. */
const STALL_MS = 150;
const STALL_POLL_MS = 25;

/** Calm requests that show whether stage results are released, and the time for that. */
const CALM_ROUNDS = 5;
const RELEASE_MS = 1500;

/** Result of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly succeeded: number;
  readonly faults: number;
  /** From the end of the faults until every kind was served by every process. */
  readonly recoveryMs: number;
  /** How often the soak itself did not run for a while; its callers and servers see times late then. */
  readonly stalls: number;
  readonly violations: readonly string[];
}

/** Runs processes under a seeded series of faults. */
export class Soak {
  private readonly history: SoakHistory;

  private readonly random: SeededRandom;

  private readonly callers: SoakCallers;

  private stopped = false;

  private stalls = 0;

  /**
   * @param deployment - running processes and stand-ins
   * @param limits - settings that the bounds refer to
   * @param seed - decides faults and requests
   */
  constructor(
    private readonly deployment: SoakDeployment,
    private readonly limits: DeploymentLimits,
    private readonly seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.history = {
      requests: [],
      servers: deployment.everyServer,
      disturbances: [],
      keys: [{ ...USUAL_KEY, from: 0, to: Infinity }],
      observed: [],
    };
    const keys = { usual: USUAL_KEY.key, extra: EXTRA_KEY.key };
    this.callers = new SoakCallers(deployment, this.history, new SeededRandom(seed + 1), keys);
  }

  /**
   * @param seconds - length of the phase with faults
   * @returns what happened
   */
  async run(seconds: number): Promise<SoakReport> {
    const watching = Promise.all([this.watchExits(), this.watchStalls()]);
    this.callers.start();
    const faults = createFaultSeries(this.random, seconds);
    const startedAt = performance.now();
    const running = faults.map(async (fault) => {
      await sleep(startedAt + fault.atMs - performance.now());
      await FAULT_ACTIONS[fault.kind]({
        deployment: this.deployment,
        history: this.history,
        fault,
      });
    });
    await Promise.all(running);
    const recoveryMs = await this.recover();
    await this.callers.stop();
    await this.checkReleases();
    this.stopped = true;
    await watching;
    const { requests } = this.history;
    return {
      seed: this.seed,
      requests: requests.length,
      succeeded: requests.filter(({ outcome }) => outcome?.status === 200 && outcome.isComplete)
        .length,
      faults: faults.length,
      recoveryMs,
      stalls: this.stalls,
      violations: findViolations(this.history, this.limits),
    };
  }

  private async watchStalls(): Promise<void> {
    let from = performance.now();
    while (!this.stopped) {
      await sleep(STALL_POLL_MS);
      const to = performance.now();
      if (to - from > STALL_POLL_MS + STALL_MS) this.stalls += 1;
      from = to;
    }
  }

  private async watchExits(): Promise<void> {
    const reported = new Set<SoakProcess>();
    while (!this.stopped) {
      this.deployment.processes
        .filter((process) => !process.isRestarting && !process.process.running)
        .filter((process) => !reported.has(process))
        .forEach((process) => {
          reported.add(process);
          this.history.observed.push(
            `no exit of its own: ${process.name}, exit code ${process.process.exitCode}`,
          );
        });
      await sleep(POLL_MS);
    }
  }

  /** Waits until every process serves every kind. */
  private async recover(): Promise<number> {
    const startedAt = performance.now();
    const waiting = this.deployment.processes.flatMap((process) =>
      Object.keys(REQUEST_KINDS).map(async (kind) => {
        while (!(await this.isServed(process, kind as RequestKind))) {
          if (performance.now() - startedAt > BOUNDS.recoveryMs) {
            this.history.observed.push(`recovers: ${process.name} does not serve ${kind}`);
            return;
          }
          await sleep(POLL_MS);
        }
      }),
    );
    await Promise.all(waiting);
    return Math.round(performance.now() - startedAt);
  }

  private async isServed(process: SoakProcess, kind: RequestKind): Promise<boolean> {
    const client = new Client(`http://${process.address}`);
    const { outcome } = await this.callers.send(client, process, kind, { key: USUAL_KEY.key });
    await client.destroy();
    return outcome?.status === 200 && outcome.isComplete;
  }

  /** Stage results of requests that were served without faults are all released. */
  private async checkReleases(): Promise<void> {
    const count = (): number =>
      this.deployment.servers.reduce((sum, server) => sum + server.results(), 0);
    const before = count();
    for (let round = 0; round < CALM_ROUNDS; round += 1) {
      await Promise.all(
        this.deployment.processes.map((process) => this.isServed(process, 'staged')),
      );
    }
    await sleep(RELEASE_MS);
    const left = count() - before;
    if (left > 0) this.history.observed.push(`releases stage results: ${left} left`);
  }
}
