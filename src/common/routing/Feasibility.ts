/**
 * Estimates the time of the stages that a request still has to run, for comparison with its time
 * left.
 */
import type { Stage } from '../protocol/Configuration.js';
import type { Router } from './Router.js';

/** Expected time of a sequence of stages, in milliseconds. */
export interface PathEstimate {
  readonly expectedMs: number;
  /** Queueing time, which `expectedMs` includes. */
  readonly waitMs: number;
}

/**
 * Estimates the time of stages that run in sequence: for each stage the median of its recent
 * service times plus the shortest queueing time reported by its pool. A stage with too few recent
 * results counts as 0. So no request is refused for lack of data, and a sequence whose requests
 * were all refused is tried again once its results have expired.
 * @param router - source of service times and queueing times
 * @param template - name of the template
 * @param stages - stages still to run
 * @returns expected time and the part of it spent in queues
 */
export function estimateStages(
  router: Router,
  template: string,
  stages: readonly Stage[],
): PathEstimate {
  let expectedMs = 0;
  let waitMs = 0;
  for (const stage of stages) {
    const expected = router.stageTimes.expectedTimes({ template, stage: stage.name });
    if (!expected) continue;
    const wait = router.expectedWaitMs(stage.pool);
    waitMs += wait;
    expectedMs += wait + expected.medianServiceMs;
  }
  return { expectedMs, waitMs };
}
