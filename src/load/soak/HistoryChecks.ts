/** Checks the guarantees to callers and backend servers against the history of a soak. */
import {
  REQUEST_KINDS,
  type CallRecord,
  type Period,
  type RequestRecord,
  type ServerRecord,
  type SoakHistory,
} from './Types.js';

/** Bounds that the checks use, in ms; the documented bound where there is one. */
export const BOUNDS = {
  /** Longest time between the time-out of a route and the response. */
  answerSlackMs: 500,
  /** Longest time between publishing a configuration and its use by every process. */
  configurationMs: 3000,
  /** Longest time after the start of a drain in which a server may still receive requests. */
  drainMs: 3000,
  /** Longest time between the disconnection of a caller and the end of the execution. */
  disconnectSlackMs: 500,
  /** Longest time after an evacuation in which servers of the domain may still receive requests. */
  evacuationMs: 5000,
  /** Time without disturbance after which the bounds apply; stricter than the documented 4 s. */
  undisturbedMs: 1500,
  /** Longest time between SIGTERM and the exit. */
  graceMs: 4000,
  /** Longest time between the last fault and full recovery. */
  recoveryMs: 15_000,
} as const;

/** Settings of the deployment that the checks use. */
export interface DeploymentLimits {
  readonly routeTimeoutMs: number;
  /** Retry budget: allowed retries per request in a window, plus a constant. */
  readonly budget: { readonly ratio: number; readonly slack: number; readonly windowMs: number };
  /** Service whose servers run the final stage of every kind of request. */
  readonly service: string;
  /** Number of events of a complete stream. */
  readonly events: number;
  /** Most requests that a cold server may receive in any second. */
  readonly coldRequestsPerS: number;
}

const MS_PER_SECOND = 1000;

type Check = (history: SoakHistory, limits: DeploymentLimits) => string[];

/** Statuses that guarantee that the request was not executed. */
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);

/** Statuses of a request whose API key is not accepted. */
const DENIED_STATUSES = new Set([401, 403, 404]);

/** @returns a function from a request id to its arrivals, each with the server that received it */
function arrivalsOf(history: SoakHistory) {
  const arrivals = new Map<
    string,
    (ServerRecord['arrivals'][number] & { server: ServerRecord })[]
  >();
  history.servers.forEach((server) => {
    server.arrivals.forEach((arrival) => {
      arrivals.set(arrival.id, [...(arrivals.get(arrival.id) ?? []), { ...arrival, server }]);
    });
  });
  return (id: string) => arrivals.get(id) ?? [];
}

/** @returns whether no subject was disturbed between two times, or within {@link BOUNDS}.undisturbedMs before */
function isUndisturbed(
  history: SoakHistory,
  subjects: string[],
  from: number,
  to: number,
): boolean {
  return !history.disturbances.some(
    (disturbance) =>
      subjects.includes(disturbance.subject) &&
      disturbance.from <= to &&
      disturbance.to >= from - BOUNDS.undisturbedMs,
  );
}

/** Subjects whose disturbance can delay configuration and registrations on the way to a process. */
const configurationPathOf = (process: string): string[] => [
  process,
  'store',
  `store of ${process}`,
];

/**
 * @returns start of the undisturbed period that contains the time `at`, but no earlier than `from`;
 *   infinite if a subject is disturbed at that time
 */
function undisturbedSince(
  history: SoakHistory,
  subjects: string[],
  from: number,
  at: number,
): number {
  const ends = history.disturbances
    .filter((disturbance) => subjects.includes(disturbance.subject) && disturbance.from <= at)
    .map(({ to }) => (to > at ? Infinity : to));
  return Math.max(from, ...ends);
}

/**
 * @returns function that tells whether all processes that may have sent a call were in contact with
 *   the store from a time on until the call arrived
 */
function contactChecker(history: SoakHistory) {
  const processes = new Map(history.requests.map(({ id, process }) => [id, process]));
  const all = [...new Set(processes.values())];
  return ({ requestId, arrivedAt }: CallRecord, from: number): boolean => {
    const sender = processes.get(requestId ?? '');
    return (sender === undefined ? all : [sender]).every(
      (process) =>
        arrivedAt >
        undisturbedSince(history, configurationPathOf(process), from, arrivedAt) +
          BOUNDS.evacuationMs,
    );
  };
}

/** @returns most calls that a server received in any second of a period */
function mostInSecond(calls: readonly CallRecord[], { from, to }: Period): number {
  const times = calls.map(({ arrivedAt }) => arrivedAt).filter((time) => time >= from && time < to);
  const counts = times.map(
    (start) => times.filter((time) => time >= start && time < start + MS_PER_SECOND).length,
  );
  return Math.max(0, ...counts);
}

const describe = ({ id, kind, process, outcome }: RequestRecord): string =>
  `${id} (${kind}, ${process}, status ${outcome?.status ?? 'none'})`;

/**
 * Checks that the events of a stream start with the first one, without gap or duplicate. An
 * incomplete event at the end is ignored.
 * @returns number of events; undefined if the order is wrong
 */
function countOrderedEvents(body: string): number | undefined {
  const numbers = [...body.matchAll(/^id: (\d+)\ndata: (\d+)\n\n/gm)].map(([, id]) => Number(id));
  return numbers.every((number, index) => number === index + 1) ? numbers.length : undefined;
}

/** Check of each guarantee, by the name that its violations are reported under. */
export const HISTORY_CHECKS: Record<string, Check> = {
  'at most one execution': (history) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter(({ kind }) => !REQUEST_KINDS[kind].isRetryable)
      .filter(({ id }) => arrivals(id).filter(({ hasRun }) => hasRun).length > 1)
      .map(describe);
  },

  'rejected requests are not executed': (history) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter(({ kind }) => !REQUEST_KINDS[kind].isRetryable)
      .filter(({ outcome }) => NOT_EXECUTED_STATUSES.has(outcome?.status ?? 0))
      .filter(({ id }) => arrivals(id).some(({ hasRun }) => hasRun))
      .map(describe);
  },

  'responses are complete and belong to their request': (history, { events }) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter((record) => {
        const { outcome, kind, id } = record;
        if (outcome?.status !== 200) return false;
        const executions = arrivals(id).filter(({ hasRun }) => hasRun);
        if (!executions.some(({ server }) => outcome.signature === `seal-${server.id}`))
          return true;
        if (outcome.answeredId !== id) return true;
        if (!REQUEST_KINDS[kind].isStream)
          return outcome.isComplete && outcome.body !== `done ${id}`;
        const eventCount = countOrderedEvents(outcome.body);
        return eventCount === undefined || (outcome.isComplete && eventCount !== events);
      })
      .map((record) => `${describe(record)}: ${record.outcome!.body}`);
  },

  'answered in time': (history, { routeTimeoutMs }) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter(({ disconnectedAt }) => disconnectedAt === undefined)
      .filter((record) => {
        const { outcome, sentAt, process, id } = record;
        const limitAt = sentAt + routeTimeoutMs + BOUNDS.answerSlackMs;
        const endedAt = outcome?.endedAt ?? Infinity;
        if (!isUndisturbed(history, [process], sentAt, Math.min(endedAt, limitAt))) return false;
        if (endedAt > limitAt) return true;
        return outcome?.status === undefined && arrivals(id).length > 0;
      })
      .map(describe);
  },

  'requests reach their service under the account of their key': (history, { service }) => {
    const requests = new Map(history.requests.map((record) => [record.id, record]));
    return history.servers.flatMap((server) =>
      server.arrivals
        .filter((arrival) => {
          const request = requests.get(arrival.id);
          const account = history.keys.find(({ key }) => key === request?.key)?.account;
          const wrongService = arrival.hasRun && server.service !== service;
          return !request || wrongService || arrival.account !== account;
        })
        .map((arrival) => `${arrival.id} at ${server.id} for ${arrival.account}`),
    );
  },

  'API keys follow the published configuration': (history) =>
    history.requests
      .filter((record) => {
        const { key, process, sentAt, outcome } = record;
        const propagationStart = sentAt - BOUNDS.configurationMs;
        if (!isUndisturbed(history, configurationPathOf(process), propagationStart, sentAt))
          return false;
        const periods = history.keys.filter((period) => period.key === key);
        const isValidThroughout = periods.some(
          ({ from, to }) => from <= propagationStart && to >= (outcome?.endedAt ?? sentAt),
        );
        const isInvalidThroughout = periods.every(
          ({ from, to }) => to <= propagationStart || from >= sentAt,
        );
        const status = outcome?.status ?? 0;
        return (
          (isValidThroughout && DENIED_STATUSES.has(status)) ||
          (isInvalidThroughout && status === 200)
        );
      })
      .map(describe),

  'draining servers receive no new requests': (history) => {
    const requests = new Map(history.requests.map((record) => [record.id, record]));
    return history.servers.flatMap((server) =>
      server.arrivals
        .filter(({ id, arrivedAt }) => {
          const process = requests.get(id)?.process ?? '';
          return server.drainPeriods.some(
            ({ from, to }) =>
              arrivedAt < to &&
              arrivedAt >
                undisturbedSince(history, configurationPathOf(process), from, arrivedAt) +
                  BOUNDS.drainMs,
          );
        })
        .map(({ id }) => `${id} at ${server.id}`),
    );
  },

  'evacuated domains receive nothing': (history) => {
    const isInContact = contactChecker(history);
    return history.servers.flatMap(({ id, domain, calls }) => {
      const evacuations = history.evacuations.filter((evacuation) => evacuation.domain === domain);
      return calls.flatMap((call) =>
        evacuations
          .filter(({ to }) => call.arrivedAt < to)
          .filter(({ from }) => isInContact(call, from))
          .map(({ from }) => {
            const afterMs = Math.round(call.arrivedAt - from);
            return `${call.requestId ?? 'stage call or release'} at ${id} after ${afterMs} ms`;
          }),
      );
    });
  },

  'cold servers receive few requests': (history, { coldRequestsPerS }) =>
    history.servers.flatMap(({ id, calls, coldPeriods }) =>
      coldPeriods.flatMap((period) => {
        const count = mostInSecond(calls, period);
        return count > coldRequestsPerS
          ? [`${count} at ${id} in a second, allowed ${coldRequestsPerS}`]
          : [];
      }),
    ),

  'execution ends after the caller disconnects': (history) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter((record) => {
        const { disconnectedAt, process, id } = record;
        if (disconnectedAt === undefined) return false;
        const limitAt = disconnectedAt + BOUNDS.disconnectSlackMs;
        return arrivals(id).some(
          ({ arrivedAt, hasRun, endedAt = Infinity, server }) =>
            isUndisturbed(history, [process, server.id], disconnectedAt, limitAt) &&
            (arrivedAt > limitAt || (hasRun && endedAt > limitAt)),
        );
      })
      .map(describe);
  },

  'retries stay within the budget': (history, { budget, service }) => {
    const arrivals = history.servers
      .filter((server) => server.service === service)
      .flatMap((server) => server.arrivals)
      .sort((left, right) => left.arrivedAt - right.arrivedAt);
    const seen = new Set<string>();
    const retries = arrivals.filter(({ id }) => seen.has(id) || !seen.add(id));
    return retries.flatMap(({ arrivedAt: from }) => {
      const to = from + budget.windowMs;
      const count = retries.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < to).length;
      // A retry may be sent up to a window after its request.
      const requests = Math.max(
        ...[0, budget.windowMs / 2, budget.windowMs].map(
          (before) =>
            history.requests.filter(({ sentAt }) => sentAt >= from - before && sentAt < to - before)
              .length,
        ),
      );
      const allowed = budget.ratio * requests + budget.slack;
      return count > allowed
        ? [`${count} retries for ${requests} requests, allowed ${allowed}`]
        : [];
    });
  },
};

/**
 * Runs all checks.
 * @param history - observations of callers and servers
 * @param limits - settings of the deployment
 * @returns violations, each prefixed with the name of its check
 */
export function findViolations(history: SoakHistory, limits: DeploymentLimits): string[] {
  const found = Object.entries(HISTORY_CHECKS).flatMap(([name, check]) =>
    check(history, limits).map((violation) => `${name}: ${violation}`),
  );
  return [...history.observed, ...found];
}
