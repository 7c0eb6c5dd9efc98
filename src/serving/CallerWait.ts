import type { Route } from '../common/serving/ServingConfiguration.js';

/** Round-trip time between callers and this process, in ms; part of the latency objective. */
export const CALLER_ROUND_TRIP_MS = 8;

/**
 * Callers abandon a stream without events after the longest of these: a fixed time (in ms), a
 * multiple of the latency objective and a multiple of the longest event gap.
 */
const MIN_STREAM_WAIT_MS = 2000;
const STREAM_WAIT_OBJECTIVES = 4;
const STREAM_WAIT_EVENT_GAPS = 8;

/** @returns time for which callers wait for a response or a first event, in ms */
export function callerWaitMs({ kind, objectiveMs, maxEventGapMs }: Route): number {
  if (kind !== 'streaming') return Infinity;
  const gapsMs = (maxEventGapMs ?? 0) * STREAM_WAIT_EVENT_GAPS;
  return (
    Math.max(MIN_STREAM_WAIT_MS, objectiveMs * STREAM_WAIT_OBJECTIVES, gapsMs) -
    CALLER_ROUND_TRIP_MS
  );
}
