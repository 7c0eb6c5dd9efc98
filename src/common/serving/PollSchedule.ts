/** Position of a process among those that follow the same table. */
export interface FleetPosition {
  /** 0 for the first process. */
  readonly rank: number;
  /** Number of processes, including this one. */
  readonly count: number;
}

/** Longest wait for a change, in ms; the store allows 30 s. */
const MAX_WAIT_MS = 25_000;

/**
 * Schedules the long polls of a process so that those of a fleet end one after the other, even if
 * nothing changes. A poll on a connection that is silently lost shows it only when the poll ends, and
 * the process that notices it first tells the others what it has missed.
 *
 * Handles a change, which completes the polls of all processes at the same moment: each then waits
 * for a time that its rank determines, and from then on for the same time as the others. Until the
 * longest wait is reached, all processes together make as many calls as one process alone.
 *
 * @param spacingMs - time between the ends of two polls of the fleet, in ms
 * @param fleet - position of this process
 * @param isFirst - whether the previous poll of all processes ended at the same moment
 * @returns time that the store may wait for a change, in ms
 */
export function pollWaitMs(spacingMs: number, fleet: FleetPosition, isFirst: boolean): number {
  const periodMs = Math.min(MAX_WAIT_MS, spacingMs * fleet.count);
  return Math.round(isFirst ? (periodMs * (fleet.rank + 1)) / fleet.count : periodMs);
}
