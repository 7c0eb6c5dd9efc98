/** Compares the time left with the expected time of the stages that are still to run. */
import type { Stage } from '../protocol/Configuration.js';
import type { Router } from './Router.js';

/** Expected time of a path, in milliseconds. */
export interface Forecast {
  readonly expectedMs: number;
  /** Part of it spent in queues. */
  readonly waitMs: number;
}

/**
 * Expected time of stages in sequence: the 0.5-quantile of each one's learned service time plus the
 * shortest queueing time that its pool reports. A stage of which too few recent results are known
 * counts as 0, so a request is never refused for want of knowledge, and a path whose requests were
 * all refused is tried again when its results have expired.
 * @param router - learned times and loads
 * @param template - name of the template
 * @param stages - stages still to run
 * @returns expected time
 */
export function forecastStages(
  router: Router,
  template: string,
  stages: readonly Stage[],
): Forecast {
  let expectedMs = 0;
  let waitMs = 0;
  for (const stage of stages) {
    const expected = router.times.expect({ template, stage: stage.name });
    if (!expected) continue;
    const wait = router.expectedWaitMs(stage.pool);
    waitMs += wait;
    expectedMs += wait + expected.medianServiceMs;
  }
  return { expectedMs, waitMs };
}
