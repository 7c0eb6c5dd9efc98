/** Rules about routes: what they match, their times and the servers that their requests may use. */
import type { Clock } from '../../time/Types.js';
import type { Route } from '../ServingConfiguration.js';
import { SlidingWindowBudget } from '../SlidingWindowBudget.js';
import { quote } from './Quote.js';
import type { CheckOptions, Finding, Rule } from './Types.js';

/** Characters that the path of a request target or the `Host` header cannot contain. */
const IMPOSSIBLE_IN_PREFIX = /[?#\s]/;
const IMPOSSIBLE_IN_HOST = /[/?#@\s]/;

/** Bounds the time of the check with a huge allowance; more retries count as unlimited. */
const MAX_COUNTED_RETRIES = 10_000;

/** Finds prefixes and hosts that match no request, or other requests than intended. */
export const findUnmatchedRoutes: Rule = ({ routes }) => {
  const firstRoutes = new Map<string, number>();
  return routes.flatMap(({ host, pathPrefix }, index) => {
    const path = ['routes', index, 'pathPrefix'];
    const findings: Finding[] = [];
    const add = (rule: string, message: string) =>
      findings.push({ rule, severity: 'error', path, message });
    const key = JSON.stringify([host.toLowerCase(), pathPrefix]);
    const first = firstRoutes.get(key);
    if (first === undefined) firstRoutes.set(key, index);
    else {
      const name = routes[first]?.name ?? '';
      add('prefix-repeated', `never matches: route ${quote(name)} has the same host and prefix`);
    }
    if (!pathPrefix.startsWith('/')) {
      add('prefix-without-slash', 'never matches: the prefix does not begin with a slash');
    } else if (!pathPrefix.endsWith('/')) {
      add('prefix-without-slash', 'the prefix does not end with a slash');
    }
    if (IMPOSSIBLE_IN_PREFIX.test(pathPrefix)) {
      add('prefix-impossible', 'never matches: the prefix contains "?", "#" or white space');
    }
    if (host === '' || IMPOSSIBLE_IN_HOST.test(host)) {
      const message = 'never matches: the host is not a name or address with an optional port';
      findings.push({
        ...{ rule: 'host-impossible', severity: 'error', message },
        path: ['routes', index, 'host'],
      });
    }
    return findings;
  });
};

/** Finds time-outs that end requests before their latency objective. */
export const findShortTimeouts: Rule = ({ routes }) =>
  routes.flatMap(({ timeoutMs, objectiveMs }, index): Finding[] =>
    timeoutMs >= objectiveMs
      ? []
      : [
          {
            rule: 'timeout-below-objective',
            severity: 'error',
            path: ['routes', index, 'timeoutMs'],
            message: `the time-out of ${timeoutMs} ms is below the latency objective of ${objectiveMs} ms`,
          },
        ],
  );

/** Finds routes with more servers than their requests may or can use. */
export const findUnusableServers: Rule = ({ routes }, options) => {
  const payable = payableRetries(options);
  return routes.flatMap((route, index): Finding[] => {
    if (route.maxServers === 1) return [];
    const path = ['routes', index, 'maxServers'];
    if (!mayRepeat(route)) {
      const message = `allows ${route.maxServers} servers, but the requests of the route run at most once`;
      return [{ rule: 'attempts-of-unrepeatable', severity: 'warning', path, message }];
    }
    const retries = route.maxServers - 1;
    if (retries <= payable) return [];
    const message = `allows ${route.maxServers} servers, but the retry budget pays for ${payable} of ${retries} more sends of a request that is alone in its window`;
    return [{ rule: 'attempts-above-retry-budget', severity: 'warning', path, message }];
  });
};

/** Finds traffic splits with weights that send no requests. */
export const findUnusedWeights: Rule = ({ routes }) =>
  routes.flatMap(({ targets }, index): Finding[] => {
    const path = ['routes', index, 'targets'];
    if (targets.every(({ weight }) => weight === 0)) {
      const message = 'the weights of the traffic split sum to 0';
      return [{ rule: 'split-without-weight', severity: 'error', path, message }];
    }
    return targets.flatMap(({ service, weight }, target): Finding[] => {
      if (weight > 0) return [];
      const message = `service ${quote(service)} has weight 0 and gets no requests of the route`;
      const weightPath = [...path, target, 'weight'];
      return [{ rule: 'weight-zero', severity: 'warning', path: weightPath, message }];
    });
  });

function mayRepeat({ kind, isResumable }: Route): boolean {
  return kind === 'safe' || (kind === 'streaming' && isResumable);
}

/**
 * Asks the budget of the serving process itself how often it would repeat one request.
 * @returns number of retries; infinite if the allowance is not known
 */
function payableRetries({ retryAllowance, processes = 1 }: CheckOptions): number {
  if (!retryAllowance) return Infinity;
  const clock: Clock = { now: () => 0, wallTime: () => 0 };
  const budget = new SlidingWindowBudget(clock, retryAllowance, () => processes);
  budget.recordRequest();
  let retries = 0;
  while (retries < MAX_COUNTED_RETRIES && budget.trySpend()) retries += 1;
  return retries === MAX_COUNTED_RETRIES ? Infinity : retries;
}
