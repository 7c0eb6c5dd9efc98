import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { sha256 } from '../common/Digest.js';
import { createAttempt } from '../common/gate/testing/AttemptFixture.js';
import type { AttemptStream } from '../common/gate/AttemptStream.js';
import type { RunEnd } from '../common/gate/Types.js';
import type { Attempt } from '../common/protocol/Attempt.js';
import { CLAIM_TABLE, Claim, claimKey } from '../common/protocol/Claim.js';
import { NO_USAGE } from '../common/protocol/Usage.js';
import { FakeTableStore, type TableFault } from '../platform/testing/FakeTableStore.js';
import type { PlatformResult, Row, TableStore } from '../platform/Types.js';
import { SimulatedAgent, type SimulatedWorld } from './testing/SimulatedAgent.js';
import { StepScheduler } from './testing/StepScheduler.js';

const KEYS = ['k1', 'k2'];
const DEADLINE_MS = 500;
const MAX_FINAL_STEPS = 5000;

type Fault = TableFault | 'late';

/** One submission and the process that took it. */
interface Submission {
  readonly agent: SimulatedAgent;
  readonly attempt: Attempt;
  readonly stream: AttemptStream;
}

/** Two agents, their store and a sequential judge of what happens. */
class Simulation implements SimulatedWorld {
  readonly scheduler = new StepScheduler();

  readonly table = new FakeTableStore();

  now = 0;

  readonly clock = { now: () => this.now, wallTime: () => this.now };

  faults: Fault[] = [];

  readonly agents: SimulatedAgent[];

  readonly submissions: Submission[] = [];

  /** Runs by key. */
  readonly runs = new Map<string, { agent: SimulatedAgent; attempt: Attempt }[]>();

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
        // A late commit happens some time after the caller gave up waiting for it.
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

  onRun(agent: SimulatedAgent, attempt: Attempt): RunEnd {
    const key = attempt.idempotencyKey!;
    const runs = this.runs.get(key) ?? [];
    runs.push({ agent, attempt });
    this.runs.set(key, runs);
    assert.equal(runs.length, 1, 'a key runs at most once');
    assert.ok(!this.voided.has(`${agent.process} ${attempt.attemptId}`), 'void attempts never run');
    const row = this.row(key);
    const { agentId, incarnation } = agent.identity;
    assert.deepEqual(
      [row?.state, row?.attemptId, row?.agentId, row?.incarnation],
      ['claimed', attempt.attemptId, agentId, incarnation],
      'a committed claim of this holder precedes the run',
    );
    const usage = { ...NO_USAGE, calls: 1 };
    return { kind: 'done', output: JSON.stringify(`${agent.process} ${attempt.attemptId}`), usage };
  }

  onUsage(): void {}

  row(key: string): Claim | null {
    const row = this.table.table.read({
      table: CLAIM_TABLE,
      key: claimKey('account', key, 'stage'),
    });
    return row.version === 0 ? null : Claim.parse(row.value);
  }

  submit(agentNumber: number, key: string, attemptNumber: number, replaces?: Claim): void {
    const agent = this.running(agentNumber);
    if (!agent) return;
    const attempt = createAttempt({
      attemptId: `${key}-${attemptNumber}`,
      idempotent: false,
      idempotencyKey: key,
      remainingMs: DEADLINE_MS,
      replacesClaim: replaces,
    });
    const stream = agent.use((gate) => gate.submit(attempt, sha256(key), false));
    this.submissions.push({ agent, attempt, stream });
  }

  void(agentNumber: number, attemptId: string): void {
    const agent = this.running(agentNumber);
    const state = agent?.use((gate) => gate.voidAttempt(attemptId));
    if (agent && state === 'voided') this.voided.add(`${agent.process} ${attemptId}`);
  }

  /** The entry's part: asks the holder named in a refusal and sends a new attempt if it was voided. */
  resolveClaim(submission: Submission, agentNumber: number, attemptNumber: number): void {
    const { outcome } = submission.stream;
    if (outcome?.type !== 'refused' || !outcome.claim) return;
    const { claim } = outcome;
    const holder = this.agents.find(({ identity }) => identity.incarnation === claim.incarnation);
    const key = submission.attempt.idempotencyKey!;
    const state = holder && this.isRunning(holder) && holder.gate.status(claim.attemptId);
    if (state === 'voided') this.submit(agentNumber, key, attemptNumber, claim);
  }

  crash(agentNumber: number): void {
    const agent = this.agents[agentNumber]!;
    agent.crash();
    this.agents[agentNumber] = this.createAgent(agent.identity.agentId);
  }

  isRunning(agent: SimulatedAgent): boolean {
    return !this.scheduler.paused.has(agent.process);
  }

  running(agentNumber: number): SimulatedAgent | null {
    const agent = this.agents[agentNumber]!;
    return this.isRunning(agent) ? agent : null;
  }

  /** Ends all faults and lets everything finish. */
  async finish(): Promise<void> {
    this.faults = [];
    this.agents.forEach((agent) => this.scheduler.paused.delete(agent.process));
    for (let step = 0; step < MAX_FINAL_STEPS && (await this.scheduler.step(0)); step += 1);
    this.now += 2 * DEADLINE_MS;
    this.agents.forEach((agent) => agent.use((gate) => gate.checkDeadlines()));
    for (let step = 0; step < MAX_FINAL_STEPS && (await this.scheduler.step(0)); step += 1);
  }

  /** Compares all that submitters were told with what happened. */
  judge(): void {
    const outputs = new Map<string, string>();
    for (const { agent, attempt, stream } of this.submissions) {
      const key = attempt.idempotencyKey!;
      const { outcome } = stream;
      if (!agent.crashed) assert.ok(outcome, `${attempt.attemptId} ended`);
      const ran = (this.runs.get(key) ?? []).some(
        (run) => run.agent === agent && run.attempt.attemptId === attempt.attemptId,
      );
      if (outcome?.type === 'refused') assert.equal(ran, false, 'a refusal is true');
      if (outcome?.type === 'result') {
        assert.equal(outcome.output, outputs.get(key) ?? outcome.output, 'one result per key');
        outputs.set(key, outcome.output);
      }
    }
    for (const [key, [run]] of this.runs) {
      if (!run!.agent.crashed) assert.equal(this.row(key)?.state, 'done', 'the result is stored');
    }
    const open = this.agents.flatMap(({ identity }) =>
      KEYS.filter((key) => {
        const row = this.row(key);
        return row?.state === 'claimed' && row.incarnation === identity.incarnation;
      }),
    );
    assert.deepEqual(open, [], 'no claim of a live agent stays open');
  }
}

const agentNumber = fc.nat({ max: 1 });
const key = fc.constantFrom(...KEYS);
const attemptNumber = fc.nat({ max: 2 });
const fault = fc.constantFrom<Fault>(
  'unavailable',
  'lost-before-commit',
  'lost-after-commit',
  'late',
);

type Action = (simulation: Simulation) => void | Promise<unknown>;

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.tuple(agentNumber, key, attemptNumber).map(
      (values): Action =>
        (simulation) =>
          simulation.submit(...values),
    ),
  },
  {
    weight: 10,
    arbitrary: fc
      .array(fc.nat({ max: 20 }), { minLength: 1, maxLength: 4 })
      .map((choices): Action => async (simulation) => {
        for (const choice of choices) await simulation.scheduler.step(choice);
      }),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(agentNumber, key, attemptNumber).map(
      ([agent, name, number]): Action =>
        (simulation) =>
          simulation.void(agent, `${name}-${number}`),
    ),
  },
  {
    weight: 3,
    arbitrary: fc
      .tuple(fc.nat({ max: 50 }), agentNumber, attemptNumber)
      .map(([choice, agent, number]): Action => (simulation) => {
        const { submissions } = simulation;
        const submission =
          submissions[submissions.length - 1 - (choice % (submissions.length || 1))];
        if (submission) simulation.resolveClaim(submission, agent, number);
      }),
  },
  {
    weight: 3,
    arbitrary: fault.map((kind): Action => (simulation) => {
      simulation.faults.push(kind);
    }),
  },
  {
    weight: 2,
    arbitrary: agentNumber.map((agent): Action => (simulation) => {
      simulation.scheduler.paused.add(simulation.agents[agent]!.process);
    }),
  },
  {
    weight: 2,
    arbitrary: agentNumber.map((agent): Action => (simulation) => {
      simulation.scheduler.paused.delete(simulation.agents[agent]!.process);
    }),
  },
  {
    weight: 1,
    arbitrary: agentNumber.map(
      (agent): Action =>
        (simulation) =>
          simulation.crash(agent),
    ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(agentNumber, fc.integer({ min: 1, max: 700 }))
      .map(([agent, ms]): Action => (simulation) => {
        // eslint-disable-next-line no-param-reassign
        simulation.now += ms;
        simulation.running(agent)?.use((gate) => {
          gate.checkDeadlines();
          gate.expireRetained();
        });
      }),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(agentNumber, fc.boolean()).map(
      ([agent, draining]): Action =>
        (simulation) =>
          simulation.running(agent)?.use((gate) => (draining ? gate.drain() : gate.resume())),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(agentNumber, key, attemptNumber).map(
      ([agent, name, number]): Action =>
        (simulation) =>
          simulation
            .running(agent)
            ?.use((gate) => gate.acknowledge({ attemptId: `${name}-${number}`, won: true })),
    ),
  },
);

// Guards against two runs of one key, refusals of attempts that run, different results of one key and
// claims that stay open, in any order of messages, store answers, pauses and crashes.
test('claims under random interleavings agree with the sequential model', async () => {
  const property = fc.asyncProperty(
    fc.array(action, { minLength: 5, maxLength: 60 }),
    async (actions) => {
      const simulation = new Simulation();
      for (const act of actions) await act(simulation);
      await simulation.finish();
      simulation.judge();
    },
  );
  await fc.assert(property, { seed: 20_261_204, numRuns: Number(process.env.MODEL_RUNS ?? 2000) });
});
