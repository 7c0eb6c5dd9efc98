import { AttemptStateMachine } from '../../common/attempts/AttemptStateMachine.js';
import type { AttemptEffect, RunResult } from '../../common/attempts/Types.js';
import { UsageMeter } from '../../common/attempts/UsageMeter.js';
import type { Attempt } from '../../common/protocol/Attempt.js';
import type { LedgerEntry } from '../../common/protocol/Ledger.js';
import { NO_USAGE } from '../../common/protocol/Usage.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Clock } from '../../common/time/Types.js';
import type { TableStore } from '../../storage/Types.js';
import type { Logger } from '../../telemetry/Logger.js';
import { AttemptRunner } from '../AttemptRunner.js';
import { ClaimWriter } from '../claims/ClaimWriter.js';
import { applyMessage, type AttemptMessage } from '../AttemptMessage.js';
import type { AttemptTelemetry } from '../AttemptTelemetry.js';
import type { AgentIdentity, BackendCall } from '../Types.js';
import type { StepScheduler } from './StepScheduler.js';

/** Concurrent runs of a simulated backend server. */
export const SIMULATED_SLOTS = 2;

/** Environment of simulated agents. */
export interface SimulationEnvironment {
  readonly scheduler: StepScheduler;
  readonly clock: Clock;
  /** @returns the store as this process sees it */
  storeOf(process: string): TableStore;
  /**
   * Called when an attempt is handed to the backend server.
   * @returns how the run ends
   */
  onRun(agent: SimulatedAgent, attempt: Attempt): RunResult;
  /** Called for each usage record. */
  onUsage(entry: LedgerEntry): void;
}

/** One incarnation of an agent without sockets: attempts, effects and claims over a fake store. */
export class SimulatedAgent {
  readonly stateMachine: AttemptStateMachine;

  readonly identity: AgentIdentity;

  crashed = false;

  private readonly runner: AttemptRunner;

  private readonly claims: ClaimWriter;

  constructor(
    private readonly environment: SimulationEnvironment,
    agentId: string,
    incarnation: string,
  ) {
    const { scheduler, clock } = environment;
    this.identity = { agentId, incarnation, address: agentId };
    this.stateMachine = new AttemptStateMachine(
      { slots: SIMULATED_SLOTS, maxWaiting: 4, retentionMs: 2000 },
      clock,
    );
    this.claims = new ClaimWriter({
      store: environment.storeOf(this.processName),
      objects: {
        put: async () => ({ ok: true, value: undefined }),
        get: async () => ({ ok: true, value: null }),
      },
      clock,
      random: new SeededRandom(1),
      delay: () => scheduler.wait(this.processName),
    });
    this.runner = new AttemptRunner(
      {
        identity: this.identity,
        claims: this.claims,
        backend: { run: (call) => this.runBackend(call) },
        meter: new UsageMeter(this.identity, clock),
        ledger: { record: (entry) => environment.onUsage(entry) },
        telemetry: { recordAttempt: () => undefined } as unknown as AttemptTelemetry,
        logger: { error: () => undefined } as unknown as Logger,
      },
      (message) => this.handle(message),
    );
  }

  /** Name of the process in the scheduler. */
  get processName(): string {
    return `${this.identity.agentId}/${this.identity.incarnation}`;
  }

  /** Ends the incarnation: its pending operations have no effect from now on. */
  crash(): void {
    this.crashed = true;
    this.claims.dispose();
    this.environment.scheduler.paused.add(this.processName);
  }

  /**
   * Calls the attempt state machine and executes the resulting effects.
   * @param call - function that calls the attempt state machine
   * @returns result of the function
   */
  withStateMachine<T>(call: (stateMachine: AttemptStateMachine) => T): T {
    const result = call(this.stateMachine);
    this.stateMachine
      .dequeueEffects()
      .forEach((effect: AttemptEffect) => this.runner.execute(effect));
    return result;
  }

  private handle(message: AttemptMessage): void {
    if (!this.crashed) this.withStateMachine((stateMachine) => applyMessage(stateMachine, message));
  }

  private async runBackend({ attempt, signal }: BackendCall): Promise<RunResult> {
    const end = this.environment.onRun(this, attempt);
    await this.environment.scheduler.wait(this.processName);
    if (!signal.aborted || end.kind === 'unreachable') return end;
    return { kind: 'failed', message: 'aborted', usage: { ...NO_USAGE, calls: 1 } };
  }
}
