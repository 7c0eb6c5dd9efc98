/** Rate of requests to a server that is cold or was cold until recently. */
import type { ColdCapacity } from './ServingConfiguration.js';

/** Bounds of the requests to a cold server, from the settings. */
export interface ColdBounds {
  /** Factor on the requests per second that a cold server can take. */
  readonly over: number;
  /** Requests per second allowed in addition. */
  readonly slack: number;
}

/** Limit for all processes together. */
export interface ColdRate {
  readonly requestsPerS: number;
  /** Number of processes that may share it. */
  readonly maxSharers: number;
}

/**
 * Parts of the bound for the steady rate and for the requests that the processes may have saved up.
 * The rest covers processes with another view of the fleet or of the server.
 */
const STEADY_PART = 0.4;
const SAVED_PART = 0.3;

/** Time after which the rate doubles following a cold period, in ms, and number of such steps. */
const RAMP_STEP_MS = 1000;
const RAMP_STEPS = 4;

/**
 * Handles servers that crash if they receive requests too fast, and waiting requests that would all
 * be sent to a server that looks idle at the end of its cold period.
 * @param capacity - requests per second that a cold server of the service can take
 * @param bounds - bounds from the settings
 * @param sinceEndMs - time since the end of the cold period, in ms; negative before it
 * @returns limit for all processes together; undefined if there is none any more
 */
export function coldRate(
  { requestsPerS }: ColdCapacity,
  { over, slack }: ColdBounds,
  sinceEndMs: number,
): ColdRate | undefined {
  const step = sinceEndMs < 0 ? 0 : Math.floor(sinceEndMs / RAMP_STEP_MS) + 1;
  if (step > RAMP_STEPS) return undefined;
  const perS = (requestsPerS * over + slack) * 2 ** step;
  return {
    requestsPerS: perS * STEADY_PART,
    maxSharers: Math.max(1, Math.floor(perS * SAVED_PART)),
  };
}

/** Time after the end of a cold period for which the rate is limited, in ms. */
export const RAMP_MS = RAMP_STEP_MS * RAMP_STEPS;
