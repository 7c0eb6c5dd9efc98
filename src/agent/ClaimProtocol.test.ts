import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { sha256 } from '../common/Digest.js';
import { createAttempt } from '../common/attempts/testing/AttemptFixture.js';
import type { AttemptOutput } from '../common/attempts/AttemptOutput.js';
import type { RunResult } from '../common/attempts/Types.js';
import type { Attempt } from '../common/protocol/Attempt.js';
import { CLAIM_TABLE, Claim, claimKey } from '../common/protocol/Claim.js';
import { NO_USAGE } from '../common/protocol/Usage.js';
import { FakeTableStore, type TableFault } from '../storage/testing/FakeTableStore.js';
import type { PlatformResult, Row, TableStore } from '../storage/Types.js';
import { SimulatedAgent, type SimulationEnvironment } from './testing/SimulatedAgent.js';
import { StepScheduler } from './testing/StepScheduler.js';

const KEYS = ['k1', 'k2'];
/** Attempts with this name are idempotent and have no idempotency key. */
const IDEMPOTENT = 'idempotent';
const DEADLINE_MS = 500;
const MAX_FINAL_STEPS = 5000;
/** Longer than the time after which a non-idempotent run without an answer is abandoned. */
const NON_IDEMPOTENT_GRACE_MS = 31_000;

type Fault = TableFault | 'late';

/** One submission and the agent that received it. */
interface Submission {
  readonly agent: SimulatedAgent;
  readonly attempt: Attempt;
  readonly output: AttemptOutput;
}

interface SimulatedRun {
  readonly agent: SimulatedAgent;
  readonly attempt: Attempt;
  readonly end: RunResult['kind'];
}

/** Two agents and their store, checked against a sequential model. */
class Simulation implements SimulationEnvironment {
  readonly scheduler = new StepScheduler();

  readonly table = new FakeTableStore();

  now = 0;

  readonly clock = { now: () => this.now, wallTime: () => this.now };

  faults: Fault[] = [];

  readonly agents: SimulatedAgent[];

  readonly submissions: Submission[] = [];

  /** Ends of the next runs, in order; later runs return a result. */
  runResults: RunResult['kind'][] = [];

  readonly runs: SimulatedRun[] = [];

  usageRecords = 0;

  /** Attempts that a process declared void, as `process attemptId`. */
  readonly voided = new Set<string>();

  private incarnations = 0;

  constructor() {
    this.agents = [this.createAgent('a'), this.createAgent('b')];
  }

  createAgent(agentId: string): SimulatedAgent {
    this.incarnations += 1;
    return new SimulatedAgent(this, agentId, `i${this.incarnations}`);
  }

  storeOf(process: string): TableStore {
    const { scheduler } = this;
    const commit = async (request: Parameters<FakeTableStore['transaction']>[0]) => {
      await scheduler.wait(null);
      return this.table.transaction(request);
    };
    return {
      read: async (rows) => {
        await scheduler.wait(process);
        return this.table.read(rows);
      },
      scan: (range) => this.table.scan(range),
      transaction: async (request): Promise<PlatformResult<Row[]>> => {
        const fault = this.faults.shift();
        const error = { kind: 'ambiguous', message: String(fault) } as const;
        let result: PlatformResult<Row[]> = { ok: false, error };
        // A late commit takes effect some time after the caller has stopped waiting for it.
        if (fault === 'late') commit(request).catch(assert.fail);
        else if (fault === 'unavailable') result = { ok: false, error: { ...error, kind: fault } };
        else if (fault !== 'lost-before-commit') {
          const committed = await commit(request);
          if (fault === undefined) result = committed;
        }
        await scheduler.wait(process);
        return result;
      },
    };
  }

  onRun(agent: SimulatedAgent, attempt: Attempt): RunResult {
    const { attemptId, idempotencyKey } = attempt;
    assert.ok(!this.voided.has(`${agent.processName} ${attemptId}`), 'void attempts never run');
    if (idempotencyKey !== undefined) this.checkClaim(agent, attempt, idempotencyKey);
    const kind = this.runResults.shift() ?? 'done';
    const usage = { ...NO_USAGE, calls: 1 };
    if (kind === 'unreachable') return { kind, message: kind };
    const isSame = ({ agent: other, attempt: { attemptId: id } }: SimulatedRun) =>
      other === agent && id === attemptId;
    assert.ok(!this.runs.some(isSame), 'an attempt runs at most once');
    this.runs.push({ agent, attempt, end: kind });
    const output = JSON.stringify(`${agent.processName} ${attemptId}`);
    return kind === 'done' ? { kind, output, usage } : { kind, message: kind, usage };
  }

  onUsage(): void {
    this.usageRecords += 1;
  }

  private checkClaim(agent: SimulatedAgent, { attemptId }: Attempt, key: string): void {
    assert.deepEqual(this.runsOf(key), [], 'a key runs at most once');
    const row = this.row(key);
    const { agentId, incarnation } = agent.identity;
    assert.deepEqual(
      [row?.state, row?.attemptId, row?.agentId, row?.incarnation],
      ['claimed', attemptId, agentId, incarnation],
      'a committed claim of this holder precedes the run',
    );
  }

  private runsOf(key: string): SimulatedRun[] {
    return this.runs.filter(({ attempt }) => attempt.idempotencyKey === key);
  }

  row(key: string): Claim | null {
    const row = this.table.table.read({
      table: CLAIM_TABLE,
      key: claimKey('account', key, 'stage'),
    });
    return row.version === 0 ? null : Claim.parse(row.value);
  }

  submit(agentNumber: number, key: string, attemptNumber: number, replaces?: Claim): void {
    const agent = this.runningAgent(agentNumber);
    if (!agent) return;
    const attempt = createAttempt({
      attemptId: `${key}-${attemptNumber}`,
      ...(key === IDEMPOTENT ? {} : { idempotent: false, idempotencyKey: key }),
      remainingMs: DEADLINE_MS,
      replacesClaim: replaces,
    });
    const output = agent.withStateMachine((stateMachine) =>
      stateMachine.submit(attempt, sha256(key), false),
    );
    this.submissions.push({ agent, attempt, output });
  }

  voidOrCancel(agentNumber: number, attemptId: string, call: 'voidAttempt' | 'cancel'): void {
    const agent = this.runningAgent(agentNumber);
    const state = agent?.withStateMachine((stateMachine) => stateMachine[call](attemptId));
    if (agent && state === 'voided') this.voided.add(`${agent.processName} ${attemptId}`);
  }

  advance(agentNumber: number, ms: number): void {
    this.now += ms;
    this.runningAgent(agentNumber)?.withStateMachine((stateMachine) => {
      stateMachine.checkDeadlines();
      stateMachine.expireRetained();
    });
  }

  /**
   * Acts as the entry: asks the holder named in a refusal for the state of its attempt and sends a
   * new attempt if that one is voided.
   */
  resolveClaim(submission: Submission, agentNumber: number, attemptNumber: number): void {
    const { outcome } = submission.output;
    if (outcome?.type !== 'refused' || !outcome.claim) return;
    const { claim } = outcome;
    const holder = this.agents.find(({ identity }) => identity.incarnation === claim.incarnation);
    const key = submission.attempt.idempotencyKey!;
    const state = holder && this.isRunning(holder) && holder.stateMachine.status(claim.attemptId);
    if (state === 'voided') this.submit(agentNumber, key, attemptNumber, claim);
  }

  crash(agentNumber: number): void {
    const agent = this.agents[agentNumber]!;
    agent.crash();
    this.agents[agentNumber] = this.createAgent(agent.identity.agentId);
  }

  isRunning(agent: SimulatedAgent): boolean {
    return !this.scheduler.paused.has(agent.processName);
  }

  runningAgent(agentNumber: number): SimulatedAgent | null {
    const agent = this.agents[agentNumber]!;
    return this.isRunning(agent) ? agent : null;
  }

  /** Ends all faults and pauses and runs all pending steps. */
  async finish(): Promise<void> {
    this.faults = [];
    this.agents.forEach((agent) => this.scheduler.paused.delete(agent.processName));
    for (const passedMs of [0, 2 * DEADLINE_MS, NON_IDEMPOTENT_GRACE_MS]) {
      this.now += passedMs;
      this.agents.forEach((agent) =>
        agent.withStateMachine((stateMachine) => stateMachine.checkDeadlines()),
      );
      for (let step = 0; step < MAX_FINAL_STEPS && (await this.scheduler.runStep(0)); step += 1);
    }
  }

  /** Compares outcomes, claim rows and usage records with the runs that took place. */
  checkInvariants(): void {
    this.checkOutcomes();
    for (const key of KEYS) this.checkRow(key);
    if (this.incarnations > this.agents.length) return;
    this.now += NON_IDEMPOTENT_GRACE_MS;
    this.agents.forEach((agent) =>
      agent.withStateMachine((stateMachine) => stateMachine.expireRetained()),
    );
    assert.equal(this.usageRecords, this.runs.length, 'each run is counted once');
  }

  private checkOutcomes(): void {
    const outputs = new Map<string, string>();
    for (const { agent, attempt, output } of this.submissions) {
      const { outcome } = output;
      if (!agent.crashed) assert.ok(outcome, `${attempt.attemptId} has an outcome`);
      const hasRun = this.runs.some(
        (run) => run.agent === agent && run.attempt.attemptId === attempt.attemptId,
      );
      if (outcome?.type === 'refused') assert.equal(hasRun, false, 'a refused attempt has not run');
      if (outcome?.type === 'result') {
        const name = attempt.idempotencyKey ?? `${agent.processName} ${attempt.attemptId}`;
        assert.equal(outcome.output, outputs.get(name) ?? outcome.output, 'one result per key');
        outputs.set(name, outcome.output);
      }
    }
  }

  private checkRow(key: string): void {
    const row = this.row(key);
    const isHolderLive = this.agents.some(
      ({ identity }) => identity.incarnation === row?.incarnation,
    );
    if (isHolderLive) assert.notEqual(row?.state, 'claimed', 'no claim of a live agent stays open');
    const [run] = this.runsOf(key);
    if (!run || run.agent.crashed) return;
    assert.equal(row?.state, run.end === 'done' ? 'done' : 'unknown', 'the outcome is stored');
  }
}

const agent = fc.nat({ max: 1 });
const key = fc.constantFrom(...KEYS, IDEMPOTENT);
const number = fc.nat({ max: 2 });
const attempt = { agent, key, number };

/** Parameters and relative frequency of each kind of action. */
const ACTIONS = {
  submit: { weight: 6, arbitrary: fc.record(attempt) },
  step: {
    weight: 10,
    arbitrary: fc.record({
      choices: fc.array(fc.nat({ max: 20 }), { minLength: 1, maxLength: 4 }),
    }),
  },
  void: { weight: 2, arbitrary: fc.record(attempt) },
  cancel: { weight: 2, arbitrary: fc.record(attempt) },
  acknowledge: { weight: 2, arbitrary: fc.record(attempt) },
  resolveClaim: {
    weight: 3,
    arbitrary: fc.record({ submission: fc.nat({ max: 50 }), agent, number }),
  },
  endRun: {
    weight: 2,
    arbitrary: fc.record({
      end: fc.constantFrom<RunResult['kind']>('failed', 'lost', 'unreachable'),
    }),
  },
  fault: {
    weight: 3,
    arbitrary: fc.record({
      fault: fc.constantFrom<Fault>(
        'unavailable',
        'lost-before-commit',
        'lost-after-commit',
        'late',
      ),
    }),
  },
  pause: { weight: 2, arbitrary: fc.record({ agent }) },
  continue: { weight: 2, arbitrary: fc.record({ agent }) },
  crash: { weight: 1, arbitrary: fc.record({ agent }) },
  advance: { weight: 2, arbitrary: fc.record({ agent, ms: fc.integer({ min: 1, max: 700 }) }) },
  drain: { weight: 1, arbitrary: fc.record({ agent, draining: fc.boolean() }) },
};

type ActionKind = keyof typeof ACTIONS;
type ParametersOf<K extends ActionKind> =
  (typeof ACTIONS)[K]['arbitrary'] extends fc.Arbitrary<infer P> ? P : never;

const ACTION_HANDLERS: {
  readonly [K in ActionKind]: (simulation: Simulation, parameters: ParametersOf<K>) => unknown;
} = {
  submit: (simulation, on) => simulation.submit(on.agent, on.key, on.number),
  step: async ({ scheduler }, { choices }) => {
    for (const choice of choices) await scheduler.runStep(choice);
  },
  void: (simulation, on) =>
    simulation.voidOrCancel(on.agent, `${on.key}-${on.number}`, 'voidAttempt'),
  cancel: (simulation, on) => simulation.voidOrCancel(on.agent, `${on.key}-${on.number}`, 'cancel'),
  acknowledge: (simulation, on) =>
    simulation
      .runningAgent(on.agent)
      ?.withStateMachine((stateMachine) =>
        stateMachine.acknowledge({ attemptId: `${on.key}-${on.number}`, won: true }),
      ),
  resolveClaim: (simulation, { submission, agent: on, number: newNumber }) => {
    const { submissions } = simulation;
    const chosen = submissions[submission % submissions.length];
    if (chosen) simulation.resolveClaim(chosen, on, newNumber);
  },
  endRun: (simulation, { end }) => simulation.runResults.push(end),
  fault: (simulation, { fault }) => simulation.faults.push(fault),
  pause: ({ scheduler, agents }, on) => scheduler.paused.add(agents[on.agent]!.processName),
  continue: ({ scheduler, agents }, on) => scheduler.paused.delete(agents[on.agent]!.processName),
  crash: (simulation, on) => simulation.crash(on.agent),
  advance: (simulation, { agent: on, ms }) => simulation.advance(on, ms),
  drain: (simulation, { agent: on, draining }) =>
    simulation
      .runningAgent(on)
      ?.withStateMachine((stateMachine) =>
        draining ? stateMachine.drain() : stateMachine.resume(),
      ),
};

const action = fc.oneof(
  ...Object.entries(ACTIONS).map(([kind, { weight, arbitrary }]) => ({
    weight,
    arbitrary: (arbitrary as fc.Arbitrary<object>).map((parameters) => ({
      kind: kind as ActionKind,
      parameters,
    })),
  })),
);

// Guards against two runs of one key, refusals of attempts that run, different results of one key
// and claims that stay open, under any order of messages, store answers, pauses and crashes.
test('claims agree with the sequential model under random interleavings', async () => {
  const property = fc.asyncProperty(
    fc.array(action, { minLength: 5, maxLength: 60 }),
    async (actions) => {
      const simulation = new Simulation();
      for (const { kind, parameters } of actions) {
        await ACTION_HANDLERS[kind](simulation, parameters as never);
      }
      await simulation.finish();
      simulation.checkInvariants();
    },
  );
  const numRuns = Number(process.env.MODEL_RUNS ?? 2000);
  await fc.assert(property, { seed: 20_261_204, numRuns });
});
