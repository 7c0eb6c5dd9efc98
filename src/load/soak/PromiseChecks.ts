/** Promises to callers and backend servers, checked on the history of a soak. */
import { REQUEST_KINDS, type RequestRecord, type ServerRecord, type SoakHistory } from './Types.js';

/** Bounds of the promises; those of the deployment pages where they state one. */
export const BOUNDS = {
  /** A request is answered this long after its route's time-out at the latest. */
  answerSlackMs: 500,
  /** A configuration is in force this long after it was published. */
  configurationMs: 3000,
  /** No request reaches a server this long after it began to drain. */
  drainMs: 3000,
  /** Work for a caller that left ends within this time. */
  leaveSlackMs: 500,
  /** Bounds hold for what was undisturbed for this time; stricter than the 4 s of the pages. */
  calmMs: 1500,
  /** From SIGTERM to the exit. */
  graceMs: 4000,
  /** Everything is served again this long after the last fault. */
  recoveryMs: 15_000,
} as const;

/** Settings of the deployment that bounds refer to. */
export interface DeploymentLimits {
  readonly routeTimeoutMs: number;
  readonly budget: { readonly ratio: number; readonly slack: number; readonly windowMs: number };
  /** Service of a kind's final run. */
  readonly service: string;
  /** Events of a complete stream. */
  readonly events: number;
}

type Check = (history: SoakHistory, limits: DeploymentLimits) => string[];

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const DENIED_STATUSES = new Set([401, 403, 404]);

/** Arrivals of each request, with the server that got them. */
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

/** @returns true if nothing disturbed the subjects in a span and just before it */
function isCalm(history: SoakHistory, subjects: string[], from: number, to: number): boolean {
  return !history.disturbances.some(
    (disturbance) =>
      subjects.includes(disturbance.subject) &&
      disturbance.from <= to &&
      disturbance.to >= from - BOUNDS.calmMs,
  );
}

/** Subjects whose disturbance keeps news of the store from a process. */
const newsPathOf = (process: string): string[] => [process, 'store', `store of ${process}`];

/** @returns start of the undisturbed span that ends at a time, not before `from`; infinite if there is none */
function settledAt(history: SoakHistory, subjects: string[], from: number, at: number): number {
  const ends = history.disturbances
    .filter((disturbance) => subjects.includes(disturbance.subject) && disturbance.from <= at)
    .map(({ to }) => (to > at ? Infinity : to));
  return Math.max(from, ...ends);
}

const describe = ({ id, kind, process, outcome }: RequestRecord): string =>
  `${id} (${kind}, ${process}, status ${outcome?.status ?? 'none'})`;

/** Every event from the first on, once and in order, up to the last whole one. */
function eventsInOrder(body: string): number | undefined {
  const numbers = [...body.matchAll(/^id: (\d+)\ndata: (\d+)\n\n/gm)].map(([, id]) => Number(id));
  return numbers.every((number, index) => number === index + 1) ? numbers.length : undefined;
}

/** Each promise by its name. */
export const PROMISE_CHECKS: Record<string, Check> = {
  'runs once': (history) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter(({ kind }) => !REQUEST_KINDS[kind].mayRepeat)
      .filter(({ id }) => arrivals(id).filter(({ hasRun }) => hasRun).length > 1)
      .map(describe);
  },

  'refused means not run': (history) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter(({ kind }) => !REQUEST_KINDS[kind].mayRepeat)
      .filter(({ outcome }) => NOT_RUN_STATUSES.has(outcome?.status ?? 0))
      .filter(({ id }) => arrivals(id).some(({ hasRun }) => hasRun))
      .map(describe);
  },

  'answers are whole and their own': (history, { events }) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter((record) => {
        const { outcome, kind, id } = record;
        if (outcome?.status !== 200) return false;
        const makers = arrivals(id).filter(({ hasRun }) => hasRun);
        if (!makers.some(({ server }) => outcome.signature === `seal-${server.id}`)) return true;
        if (outcome.answeredId !== id) return true;
        if (!REQUEST_KINDS[kind].isStream)
          return outcome.isComplete && outcome.body !== `done ${id}`;
        const seen = eventsInOrder(outcome.body);
        return seen === undefined || (outcome.isComplete && seen !== events);
      })
      .map((record) => `${describe(record)}: ${record.outcome!.body}`);
  },

  'answered in time': (history, { routeTimeoutMs }) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter(({ leftAt }) => leftAt === undefined)
      .filter((record) => {
        const { outcome, sentAt, process, id } = record;
        const limitAt = sentAt + routeTimeoutMs + BOUNDS.answerSlackMs;
        const endedAt = outcome?.endedAt ?? Infinity;
        if (!isCalm(history, [process], sentAt, Math.min(endedAt, limitAt))) return false;
        if (endedAt > limitAt) return true;
        return outcome?.status === undefined && arrivals(id).length > 0;
      })
      .map(describe);
  },

  "requests go to their service for the key's account": (history, { service }) => {
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

  'keys hold as published': (history) =>
    history.requests
      .filter((record) => {
        const { key, process, sentAt, outcome } = record;
        const knownSince = sentAt - BOUNDS.configurationMs;
        if (!isCalm(history, newsPathOf(process), knownSince, sentAt)) return false;
        const periods = history.keys.filter((period) => period.key === key);
        const isHeld = periods.some(
          ({ from, to }) => from <= knownSince && to >= (outcome?.endedAt ?? sentAt),
        );
        const isGone = periods.every(({ from, to }) => to <= knownSince || from >= sentAt);
        const status = outcome?.status ?? 0;
        return (isHeld && DENIED_STATUSES.has(status)) || (isGone && status === 200);
      })
      .map(describe),

  'draining servers get nothing': (history) => {
    const requests = new Map(history.requests.map((record) => [record.id, record]));
    return history.servers.flatMap((server) =>
      server.arrivals
        .filter(({ id, arrivedAt }) => {
          const process = requests.get(id)?.process ?? '';
          return server.absences.some(
            ({ from, to }) =>
              arrivedAt < to &&
              arrivedAt > settledAt(history, newsPathOf(process), from, arrivedAt) + BOUNDS.drainMs,
          );
        })
        .map(({ id }) => `${id} at ${server.id}`),
    );
  },

  'work ends when its caller leaves': (history) => {
    const arrivals = arrivalsOf(history);
    return history.requests
      .filter((record) => {
        const { leftAt, process, id } = record;
        if (leftAt === undefined) return false;
        const limitAt = leftAt + BOUNDS.leaveSlackMs;
        return arrivals(id).some(
          ({ arrivedAt, hasRun, endedAt = Infinity, server }) =>
            isCalm(history, [process, server.id], leftAt, limitAt) &&
            (arrivedAt > limitAt || (hasRun && endedAt > limitAt)),
        );
      })
      .map(describe);
  },

  'repeats stay within the budget': (history, { budget, service }) => {
    const arrivals = history.servers
      .filter((server) => server.service === service)
      .flatMap((server) => server.arrivals)
      .sort((left, right) => left.arrivedAt - right.arrivedAt);
    const seen = new Set<string>();
    const repeats = arrivals.filter(({ id }) => seen.has(id) || !seen.add(id));
    return repeats.flatMap(({ arrivedAt: from }) => {
      const to = from + budget.windowMs;
      const count = repeats.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < to).length;
      // Repeats may follow their requests into the next window.
      const requests = Math.max(
        ...[0, budget.windowMs / 2, budget.windowMs].map(
          (before) =>
            history.requests.filter(({ sentAt }) => sentAt >= from - before && sentAt < to - before)
              .length,
        ),
      );
      const allowed = budget.ratio * requests + budget.slack;
      return count > allowed ? [`${count} repeats of ${requests} requests`] : [];
    });
  },
};

/**
 * @param history - what callers and servers saw
 * @param limits - settings of the deployment
 * @returns violations, each with the name of its promise
 */
export function findViolations(history: SoakHistory, limits: DeploymentLimits): string[] {
  const found = Object.entries(PROMISE_CHECKS).flatMap(([name, check]) =>
    check(history, limits).map((violation) => `${name}: ${violation}`),
  );
  return [...history.observed, ...found];
}
