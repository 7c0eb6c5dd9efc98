import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BOUNDS, findViolations, PROMISE_CHECKS, type DeploymentLimits } from './PromiseChecks.js';
import type { ArrivalRecord, Outcome, RequestRecord, SoakHistory } from './Types.js';

const LIMITS: DeploymentLimits = {
  routeTimeoutMs: 1500,
  budget: { ratio: 0.2, slack: 2, windowMs: 10_000 },
  service: 'plain',
  events: 2,
};

const SENT_AT = 20_000;

function createOutcome(overrides: Partial<Outcome> = {}): Outcome {
  return {
    status: 200,
    body: 'done r',
    isComplete: true,
    signature: 'seal-s',
    answeredId: 'r',
    endedAt: SENT_AT + 100,
    ...overrides,
  };
}

function createRequest(overrides: Partial<RequestRecord> = {}): RequestRecord {
  const base = { id: 'r', kind: 'claim', process: 'p', key: 'k', sentAt: SENT_AT } as const;
  return { ...base, outcome: createOutcome(), ...overrides };
}

function createArrival(overrides: Partial<ArrivalRecord> = {}): ArrivalRecord {
  const base = { id: 'r', account: 'a', arrivedAt: SENT_AT + 1, hasRun: true };
  return { ...base, endedAt: SENT_AT + 90, ...overrides };
}

function createHistory(
  request: RequestRecord,
  arrivals: ArrivalRecord[],
  overrides: Partial<SoakHistory> = {},
): SoakHistory {
  return {
    requests: [request],
    servers: [{ id: 's', service: 'plain', arrivals, absences: [] }],
    disturbances: [],
    keys: [{ key: 'k', account: 'a', from: 0, to: Infinity }],
    observed: [],
    ...overrides,
  };
}

const stream = (body: string, overrides: Partial<Outcome> = {}): RequestRecord =>
  createRequest({ kind: 'again', outcome: createOutcome({ body, ...overrides }) });

const WHOLE_STREAM = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n';

/** A history that breaks each promise, and no other. */
const BROKEN: Record<keyof typeof PROMISE_CHECKS, SoakHistory> = {
  'runs once': createHistory(createRequest(), [createArrival(), createArrival()]),
  'refused means not run': createHistory(
    createRequest({ outcome: createOutcome({ status: 503 }) }),
    [createArrival()],
  ),
  'answers are whole and their own': createHistory(
    stream('id: 1\ndata: 1\n\n', { isComplete: true }),
    [createArrival()],
  ),
  'answered in time': createHistory(
    createRequest({ outcome: createOutcome({ status: undefined }) }),
    [createArrival()],
  ),
  "requests go to their service for the key's account": createHistory(createRequest(), [
    createArrival({ account: 'b' }),
  ]),
  'keys hold as published': createHistory(createRequest(), [createArrival()], {
    keys: [{ key: 'k', account: 'a', from: 0, to: SENT_AT - BOUNDS.configurationMs - 1 }],
  }),
  'draining servers get nothing': createHistory(createRequest(), [], {
    servers: [
      {
        id: 's',
        service: 'plain',
        arrivals: [createArrival()],
        absences: [{ from: SENT_AT - BOUNDS.drainMs, to: Infinity }],
      },
    ],
  }),
  'work ends when its caller leaves': createHistory(
    createRequest({ leftAt: SENT_AT + 50, outcome: createOutcome({ status: undefined }) }),
    [createArrival({ endedAt: SENT_AT + 51 + BOUNDS.leaveSlackMs })],
  ),
  'repeats stay within the budget': createHistory(
    createRequest({ kind: 'read' }),
    [0, 1, 2, 3].map(() => createArrival()),
  ),
};

describe('promise checks', () => {
  Object.entries(BROKEN).forEach(([name, history]) => {
    it(`find what breaks "${name}"`, () => {
      // Guards against a check that passes whatever it sees.
      const found = findViolations(history, LIMITS);
      assert.ok(found.length > 0);
      assert.ok(found.every((violation) => violation.startsWith(`${name}:`)));
    });
  });

  it('have a broken history each', () => {
    assert.deepEqual(Object.keys(BROKEN), Object.keys(PROMISE_CHECKS));
  });

  it('find nothing in a history that keeps all promises', () => {
    assert.deepEqual(findViolations(createHistory(createRequest(), [createArrival()]), LIMITS), []);
    const streamed = createHistory(stream(WHOLE_STREAM), [createArrival()]);
    assert.deepEqual(findViolations(streamed, LIMITS), []);
  });

  it('find an answer of another request, a foreign signature and an event out of order', () => {
    const wrong = [
      stream(WHOLE_STREAM, { answeredId: 'other' }),
      stream(WHOLE_STREAM, { signature: 'seal-other' }),
      stream('id: 2\ndata: 2\n\n', { isComplete: false }),
    ];
    wrong.forEach((request) => {
      assert.equal(findViolations(createHistory(request, [createArrival()]), LIMITS).length, 1);
    });
  });

  it('judge a server that drained and came back by the time between', () => {
    // Guards against a check that sees only servers that are still away when the soak ends.
    const between = { from: SENT_AT - BOUNDS.drainMs, to: SENT_AT + 50 };
    const before = { from: 0, to: SENT_AT - 1 };
    const historyOf = (absence: { from: number; to: number }) =>
      createHistory(createRequest(), [], {
        servers: [{ id: 's', service: 'plain', arrivals: [createArrival()], absences: [absence] }],
      });
    assert.equal(findViolations(historyOf(between), LIMITS).length, 1);
    assert.deepEqual(findViolations(historyOf(before), LIMITS), []);
  });

  it('do not judge the time of a request at a process that was frozen', () => {
    const outcome = createOutcome({ endedAt: SENT_AT + 9000 });
    const frozen = {
      disturbances: [
        { subject: 'p', kind: 'freeze', from: SENT_AT + 10, to: SENT_AT + 8000 } as const,
      ],
    };
    const late = createRequest({ outcome });
    assert.equal(findViolations(createHistory(late, [createArrival()]), LIMITS).length, 1);
    assert.deepEqual(findViolations(createHistory(late, [createArrival()], frozen), LIMITS), []);
  });
});
