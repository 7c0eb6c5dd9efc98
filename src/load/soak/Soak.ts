/** One run of the soak: sends requests, injects faults, waits for recovery and runs the checks. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from 'undici';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { TEMPORARY_KEY, FAULT_ACTIONS } from './FaultActions.js';
import {
  createColdSeries,
  createEvacuationSeries,
  createFaultSeries,
  createRestoreSeries,
} from './FaultSeries.js';
import { BOUNDS, findViolations, type DeploymentLimits } from './HistoryChecks.js';
import { SoakCallers } from './SoakCallers.js';
import {
  REQUEST_KINDS,
  type RequestKind,
  type ScheduledFault,
  type SoakDeployment,
  type SoakHistory,
  type SoakProcess,
} from './Types.js';

/** API key that is part of every published configuration. */
export const PERMANENT_KEY = { key: 'key-1', account: 'account-1' } as const;

const POLL_MS = 100;

/** A timer of the soak process that fires this much too late counts as a stall. */
const STALL_THRESHOLD_MS = 150;
const STALL_POLL_MS = 25;

/** Rounds of requests without faults that show whether stage results are released. */
const RELEASE_CHECK_ROUNDS = 5;

/** Time allowed for the release after the last of these rounds. */
const RELEASE_WAIT_MS = 1500;

/** Odd multiplier that spreads seeds over the range of 32-bit integers. */
const SEED_MULTIPLIER = 0x9e3779b1;

/** With evacuations, one of this many other faults is injected, so that processes stay in contact. */
const EVACUATION_FAULT_INTERVAL = 3;

/** Kinds of faults that a run injects only if they are requested. */
export interface SoakOptions {
  /** Whether the store is restored from copies. */
  readonly restores?: boolean;
  /** Whether the operator evacuates failure domains. */
  readonly evacuations?: boolean;
  /** Whether servers become cold. */
  readonly coldServers?: boolean;
}

/** Report of one soak run. */
export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly succeeded: number;
  readonly faults: number;
  /** Time from the end of the faults until every process served every kind of request, in ms. */
  readonly recoveryMs: number;
  /**
   * Number of stalls of the soak process itself. Its callers and stand-in servers record their times
   * too late during a stall.
   */
  readonly stalls: number;
  readonly violations: readonly string[];
}

/** Runs serving processes under load and a seeded series of faults, then checks the history. */
export class Soak {
  private readonly history: SoakHistory;

  private readonly random: SeededRandom;

  private readonly callers: SoakCallers;

  private stopped = false;

  private stalls = 0;

  /**
   * @param deployment - running processes and stand-ins
   * @param limits - settings of the deployment that the checks use
   * @param seed - seed of faults and requests
   */
  constructor(
    private readonly deployment: SoakDeployment,
    private readonly limits: DeploymentLimits,
    private readonly seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.history = {
      requests: [],
      servers: deployment.allServerRecords,
      disturbances: [],
      keys: [{ ...PERMANENT_KEY, from: 0, to: Infinity }],
      evacuations: [],
      observed: [],
    };
    const keys = { permanent: PERMANENT_KEY.key, temporary: TEMPORARY_KEY.key };
    this.callers = new SoakCallers(deployment, this.history, new SeededRandom(seed + 1), keys);
  }

  /**
   * @param seconds - length of the fault phase, in seconds
   * @param options - kinds of faults that are injected only if they are requested
   * @returns the report with all violations
   */
  async run(seconds: number, options: SoakOptions = {}): Promise<SoakReport> {
    const watchers = Promise.all([this.watchExits(), this.watchStalls()]);
    this.callers.start();
    const faults = this.createFaults(seconds, options);
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
    const recoveryMs = await this.waitForRecovery();
    await this.callers.stop();
    await this.checkResultsReleased();
    this.stopped = true;
    await watchers;
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

  /** Each kind of series has its own random source, so that options do not change the others. */
  private createFaults(seconds: number, options: SoakOptions): ScheduledFault[] {
    const { restores, evacuations, coldServers } = options;
    // The first numbers of neighboring seeds are close to each other, so these seeds are spread.
    const spreadRandom = (offset: number) =>
      new SeededRandom(Math.imul(this.seed + offset, SEED_MULTIPLIER));
    const thin = (faults: ScheduledFault[]) =>
      evacuations ? faults.filter((_, index) => index % EVACUATION_FAULT_INTERVAL === 0) : faults;
    return [
      ...thin(createFaultSeries(this.random, seconds)),
      ...(restores ? thin(createRestoreSeries(new SeededRandom(this.seed + 2), seconds)) : []),
      ...(evacuations ? createEvacuationSeries(spreadRandom(3), seconds) : []),
      ...(coldServers ? createColdSeries(spreadRandom(4), seconds) : []),
    ];
  }

  private async watchStalls(): Promise<void> {
    let from = performance.now();
    while (!this.stopped) {
      await sleep(STALL_POLL_MS);
      const to = performance.now();
      if (to - from > STALL_POLL_MS + STALL_THRESHOLD_MS) this.stalls += 1;
      from = to;
    }
  }

  private async watchExits(): Promise<void> {
    const reported = new Set<SoakProcess>();
    while (!this.stopped) {
      this.deployment.processes
        .filter((process) => !process.isRestarting && !process.process.isRunning)
        .filter((process) => !reported.has(process))
        .forEach((process) => {
          reported.add(process);
          this.history.observed.push(
            `unexpected exit: ${process.name}, exit code ${process.process.exitCode}`,
          );
        });
      await sleep(POLL_MS);
    }
  }

  /**
   * Waits until every process serves every kind of request.
   * @returns the time this took, in ms
   */
  private async waitForRecovery(): Promise<number> {
    const startedAt = performance.now();
    const waiting = this.deployment.processes.flatMap((process) =>
      Object.keys(REQUEST_KINDS).map(async (kind) => {
        while (!(await this.isServed(process, kind as RequestKind))) {
          if (performance.now() - startedAt > BOUNDS.recoveryMs) {
            this.history.observed.push(
              `recovery: ${process.name} does not serve ${kind} after ${BOUNDS.recoveryMs} ms`,
            );
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
    const { outcome } = await this.callers.send(client, process, kind, { key: PERMANENT_KEY.key });
    await client.destroy();
    return outcome?.status === 200 && outcome.isComplete;
  }

  /** Checks that all stage results of requests served without faults are released. */
  private async checkResultsReleased(): Promise<void> {
    const countResults = (): number =>
      this.deployment.servers.reduce((sum, server) => sum + server.unreleasedResultCount(), 0);
    const before = countResults();
    for (let round = 0; round < RELEASE_CHECK_ROUNDS; round += 1) {
      await Promise.all(
        this.deployment.processes.map((process) => this.isServed(process, 'staged')),
      );
    }
    await sleep(RELEASE_WAIT_MS);
    const unreleased = countResults() - before;
    if (unreleased > 0) this.history.observed.push(`stage results not released: ${unreleased}`);
  }
}
