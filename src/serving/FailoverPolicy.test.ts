import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createServer } from '../common/serving/testing/fixtures.js';
import { ManualClock } from '../common/serving/testing/ManualClock.js';
import type { CallerRequest } from './CallerRequest.js';
import { FailoverPolicy } from './FailoverPolicy.js';
import { ForwardProgress } from './ForwardProgress.js';
import { RetryBudgets } from './RetryBudgets.js';

const OBJECTIVE_MS = 300;
const DEADLINE_MS = 3900;

/** @returns request that may run on two servers, as far as the policy reads it */
function createRequest(overrides: Partial<CallerRequest['route']> = {}): CallerRequest {
  const route = { kind: 'safe', objectiveMs: OBJECTIVE_MS, maxServers: 2, ...overrides };
  const response = { hasStarted: false };
  return { route, response, deadlineAt: DEADLINE_MS } as CallerRequest;
}

/** @returns policy with a number of retries left, for a service that has other servers or not */
function createPolicy({ hasOther = true, retries = 1000 } = {}) {
  const clock = new ManualClock();
  const allowance = { ratio: 0, slack: retries / 0.6, windowMs: 1_000_000 };
  const retryBudgets = new RetryBudgets(clock, allowance, () => 1);
  const policy = new FailoverPolicy({
    clock,
    selection: { hasOther: () => hasOther },
    retryBudgets,
  });
  return { clock, policy, budget: retryBudgets.of('retrieval') };
}

/**
 * Replays a request that is sent to servers with the given response times, one after the other.
 * @param serviceTimes - time that each server needs, in ms
 * @param options - see {@link createPolicy}
 * @returns time of the response, in ms, and number of sends
 */
function replay(serviceTimes: readonly number[], options = {}) {
  const { clock, policy } = createPolicy(options);
  const progress = new ForwardProgress(undefined);
  for (const [index, serviceTime] of serviceTimes.entries()) {
    progress.recordSend(`s${index}`);
    const sentAt = clock.now();
    const failover = policy.failoverOf(createRequest(), createServer(`s${index}`), progress)!;
    let waitedMs = 0;
    let hasMoved = false;
    while (!hasMoved && waitedMs + failover.firstAfterMs < serviceTime) {
      waitedMs += failover.firstAfterMs;
      clock.set(sentAt + waitedMs);
      if (clock.now() >= DEADLINE_MS) return { respondedAt: undefined, sends: progress.sends };
      hasMoved = failover.mayMove(waitedMs);
    }
    if (!hasMoved) {
      const respondedAt = sentAt + serviceTime;
      return {
        respondedAt: respondedAt <= DEADLINE_MS ? respondedAt : undefined,
        sends: progress.sends,
      };
    }
    progress.recordPossibleRun();
  }
  return { respondedAt: undefined, sends: progress.sends };
}

describe('a replayed request to servers that do not respond in time', () => {
  it('stays at the last server until its deadline', () => {
    // Guards against a last server that is given up like the ones before it.
    assert.deepEqual(replay([1200, 1200]), { respondedAt: 1950, sends: 2 });
  });

  it('moves from a silent server to a sound one', () => {
    assert.deepEqual(replay([Infinity, 20]), { respondedAt: 770, sends: 2 });
  });

  it('stays without another server, without a retry left or with too little time', () => {
    assert.deepEqual(replay([1200, 20], { hasOther: false }), { respondedAt: 1200, sends: 1 });
    assert.deepEqual(replay([1200, 20], { retries: 0 }), { respondedAt: 1200, sends: 1 });
    const { clock, policy } = createPolicy();
    const progress = new ForwardProgress(undefined);
    const { mayMove } = policy.failoverOf(createRequest(), createServer('s'), progress)!;
    clock.set(DEADLINE_MS - 750);
    assert.equal(mayMove(750), true);
    clock.set(DEADLINE_MS - 749);
    assert.equal(mayMove(750), false);
  });

  it('stays while a hedge is in progress', () => {
    // Guards against a server that is given up although no further one gets the request.
    const { policy } = createPolicy();
    const progress = new ForwardProgress(undefined);
    const request = createRequest({ maxServers: 3 });
    const { mayMove } = policy.failoverOf(request, createServer('s'), progress)!;
    progress.hasConcurrentSend = true;
    assert.equal(mayMove(750), false);
    progress.hasConcurrentSend = false;
    assert.equal(mayMove(750), true);
  });

  it('stays once the last retry is spent', () => {
    const { policy, budget } = createPolicy({ retries: 1 });
    const progress = new ForwardProgress(undefined);
    const { mayMove } = policy.failoverOf(createRequest(), createServer('s'), progress)!;
    assert.equal(mayMove(750), true);
    assert.ok(budget.trySpend());
    assert.equal(mayMove(750), false);
  });
});

describe('requests that must not run on a second server', () => {
  it('have no failover', () => {
    const { policy } = createPolicy();
    const progress = new ForwardProgress(undefined);
    const server = createServer('s');
    [{ kind: 'unsafe' as const }, { maxServers: 1 }, { kind: 'streaming' as const }].forEach(
      (route) => assert.equal(policy.failoverOf(createRequest(route), server, progress), undefined),
    );
  });
});
