import type { DepartureBounds } from '../common/serving/ServerDepartures.js';
import type { ServingSettings } from './ServingSettings.js';

/** Registrations that a server may miss before the store removes it. */
const MISSED_REGISTRATIONS = 3;

/** Time until a removal has reached all processes, in ms. */
const REMOVAL_DELIVERY_MS = 1500;

/** Time that a request may take from its caller to a server, in ms. */
const MAX_DELIVERY_MS = 500;

/**
 * @param settings - what servers do before they end
 * @returns bounds of the departures that this process knows
 */
export function departureBoundsOf({
  drainMs,
  heartbeatMs,
}: ServingSettings['servers']): DepartureBounds {
  return {
    graceMs: Math.max(0, drainMs - MAX_DELIVERY_MS),
    registrationLifetimeMs: MISSED_REGISTRATIONS * heartbeatMs + REMOVAL_DELIVERY_MS,
  };
}
