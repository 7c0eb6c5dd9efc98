import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addUsage, NO_USAGE, type Usage, type UsageClass } from '../common/protocol/Usage.js';
import { SeededRandom } from '../common/time/SeededRandom.js';
import { FakeTableStore, type TableFault } from '../storage/testing/FakeTableStore.js';
import { createLogger } from '../telemetry/Logger.js';
import { readLedger } from './LedgerReader.js';
import { LedgerWriter } from './LedgerWriter.js';

const FLUSH_S = 10;
const RUN_S = 1800;
const AGENTS = 12;
const ENTRIES = 3;
const ATTEMPTS_PER_S = 2;
const KILLS = 10;
const TOLERANCE = 0.005;
const START_WALL_TIME_MS = Date.UTC(2026, 2, 31, 23, 45);
const logger = createLogger('test', 'error');

interface Writer {
  ledger: LedgerWriter;
  id: string;
  incarnation: string;
}

/**
 * Simulates agents and entries across the end of a month, with crashes between flushes. The entries
 * record only some of the overhead attempts, and those as useful.
 */
async function simulate(seed: number) {
  const random = new SeededRandom(seed);
  const store = new FakeTableStore();
  const expectedUsage = new Map<string, Usage>();
  let second = 0;
  let incarnations = 0;
  const pick = (count: number) => Math.floor(random.next() * count);
  const startWriter = (writer: 'agent' | 'entry', id: string): Writer => {
    incarnations += 1;
    const incarnation = `i${incarnations}`;
    const clock = { now: () => second * 1000, wallTime: () => START_WALL_TIME_MS + second * 1000 };
    const options = { store, clock, writer, writerId: id, incarnation, logger };
    // Longer than the run: the test calls flush itself.
    const ledger = new LedgerWriter({ ...options, flushIntervalMs: 1e6 });
    return { ledger, id, incarnation };
  };
  const agents = Array.from({ length: AGENTS }, (_, index) => startWriter('agent', `a${index}`));
  const entries = Array.from({ length: ENTRIES }, (_, index) => startWriter('entry', `e${index}`));
  const restartWriter = (writers: Writer[], role: 'agent' | 'entry') => {
    const [killed] = writers.splice(pick(writers.length), 1);
    killed!.ledger.dispose();
    writers.push(startWriter(role, killed!.id));
  };
  store.chooseFault = (): TableFault | undefined => {
    if (second > 600 && second < 780) return 'unavailable';
    const draw = random.next();
    if (draw < 0.05) return 'lost-before-commit';
    return draw < 0.1 ? 'lost-after-commit' : undefined;
  };
  const recordAttempt = (agent: Writer) => {
    const account = `account-${pick(3)}`;
    const stage = ['find', 'draft'][pick(2)]!;
    const work = { agentId: agent.id, agentIncarnation: agent.incarnation, account, stage };
    const tokensOut = pick(200);
    const usage = { acceleratorMs: 20 + random.next() * 200, tokensIn: 80, tokensOut, calls: 1 };
    const overhead = random.next() < 0.04;
    const usageClass: UsageClass = overhead ? 'overhead' : 'useful';
    const key = `${account} ${stage}`;
    expectedUsage.set(key, addUsage(expectedUsage.get(key) ?? NO_USAGE, usage));
    agent.ledger.record({ ...work, template: 'plan', class: usageClass, usage });
    if (overhead && random.next() < 0.7) return;
    const seen = { ...work, template: 'plan', class: 'useful' as const, usage };
    entries[pick(ENTRIES)]!.ledger.record(seen);
  };
  for (; second < RUN_S; second += 1) {
    for (const agent of agents) {
      for (let count = 0; count < ATTEMPTS_PER_S; count += 1) recordAttempt(agent);
    }
    const phase = FLUSH_S - (second % FLUSH_S);
    const due = [...agents, ...entries].filter(
      (_, index) => (index + 1) % FLUSH_S === phase % FLUSH_S,
    );
    for (const writer of due) await writer.ledger.flush();
    if (second % Math.floor(RUN_S / KILLS) === 100) restartWriter(agents, 'agent');
    if (second === 900) restartWriter(entries, 'entry');
  }
  store.chooseFault = () => undefined;
  for (const { ledger } of [...agents, ...entries]) {
    while (!(await ledger.flush()));
    ledger.dispose();
  }
  const costs = await readLedger(store);
  assert.ok(costs.ok);
  return { expectedUsage, lines: costs.value.lines(), daily: costs.value.daily() };
}

test('costs are at most 0.5% too low and never too high despite crashes, an outage and lost answers', async () => {
  for (const seed of [1, 2]) {
    const { expectedUsage, lines, daily } = await simulate(seed);
    assert.deepEqual([...new Set(lines.map(({ month }) => month))], ['2026-03', '2026-04']);
    for (const [key, expected] of expectedUsage) {
      const matchingLines = lines.filter(({ account, stage }) => `${account} ${stage}` === key);
      const usage = matchingLines
        .map((line) => addUsage(line.useful, line.overhead))
        .reduce(addUsage);
      for (const field of ['acceleratorMs', 'tokensIn', 'tokensOut', 'calls'] as const) {
        const error = usage[field] / expected[field] - 1;
        // Allows for rounding of floating-point sums.
        assert.ok(
          error <= 1e-9,
          `${key} ${field} counted twice: relative error ${error}, expected at most 1e-9`,
        );
        assert.ok(
          error >= -TOLERANCE,
          `${key} ${field} lost: relative error ${error}, expected at least ${-TOLERANCE}`,
        );
      }
      const days = daily.filter(({ account, stage }) => `${account} ${stage}` === key);
      const dailyAttempts = days.reduce((sum, day) => sum + day.attempts, 0);
      assert.equal(dailyAttempts, usage.calls, 'the sum of the days must equal the month');
    }
  }
});
