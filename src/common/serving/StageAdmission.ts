/** Decides whether the stages of a request can still serve it. */
import { expectedWaitMs, type StageLoad } from './StageLoad.js';

/** What a request needs of its stages. Times are in ms. */
export interface StageDemand {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Shortest time in which its stages and its first event can complete. */
  readonly shortestMs: number;
  /** Typical time of the same without waiting for servers. */
  readonly typicalMs: number;
  /** Time left to its latency objective; negative if it is missed. */
  readonly dueInMs: number;
  /** Time after which its caller gives up. */
  readonly waitsForMs: number;
}

/** Whether to run the stages of a request. */
export type StageAdmission =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'refused';
      /** Time by which the expected waiting time exceeds the time that the caller waits, in ms. */
      readonly excessMs: number;
    };

/** Factor on the expected waiting time: loads are some hundred ms old, and more urgent bursts come. */
const WAIT_MARGIN = 1.25;

/**
 * Admits a request if it can meet its objective, or can at least complete before its caller gives
 * up after the tasks that are still on time.
 *
 * Handles bursts beyond the capacity of a stage service, in which requests that are bound to fail
 * would otherwise hold their callers until they expire, after earlier stages have run for them.
 * @param demand - what the request needs
 * @param loads - loads of the services of its stages
 * @returns the decision
 */
export function admitStages(demand: StageDemand, loads: readonly StageLoad[]): StageAdmission {
  const waitMs = (isOnTime: boolean) =>
    WAIT_MARGIN *
    Math.max(0, ...loads.map((load) => expectedWaitMs(load, demand.priority, isOnTime)));
  if (waitMs(true) + demand.typicalMs <= demand.dueInMs) return { kind: 'admitted' };
  const excessMs = waitMs(false) + demand.shortestMs - demand.waitsForMs;
  return excessMs <= 0 ? { kind: 'admitted' } : { kind: 'refused', excessMs };
}

/** Share of the time left for which callers honor a time to come back. */
const HONORED_SHARE = 1 / 3;

/** Range of the times to come back, as shares of the longest one. */
const MIN_RETURN_SHARE = 0.75;

/**
 * Chooses when a refused caller should come back. Callers come back once, and one that finds the
 * same overload is lost, so they are told to wait as long as they would; the returns are spread.
 * @param waitsForMs - time after which the caller gives up, in ms
 * @param random - at least 0 and below 1
 * @returns time until the caller should come back, in ms
 */
export function returnAfterMs(waitsForMs: number, random: number): number {
  const share = MIN_RETURN_SHARE + (1 - MIN_RETURN_SHARE) * random;
  return Math.max(0, waitsForMs * HONORED_SHARE * share);
}
