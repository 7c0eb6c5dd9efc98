import type { Clock } from '../time/Types.js';

/** The longest deadlines of a route in the current and the previous period. */
interface Longest {
  period: number;
  currentMs: number;
  previousMs: number;
}

/** Length of a period, in ms. */
const PERIOD_MS = 30_000;

/** Share of the usual deadline that a request may lack without counting as a later attempt. */
const TOLERANCE = 0.1;

/** Maximum number of routes that are remembered; those seen least recently go first. */
const MAX_ROUTES = 10_000;

/**
 * Tells from its deadline how long ago a caller sent its first attempt.
 *
 * Handles bursts in which refused callers return. Their latency objective counts from the first
 * attempt, so that they would take the place of requests that can still be on time. Callers send
 * the time that they have left, which is the longest on their first attempts.
 */
export class UsualDeadlines {
  private readonly longestByRoute = new Map<string, Longest>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records a request.
   * @param route - name of its route
   * @param deadlineMs - time that its caller waits, in ms
   * @returns estimated time since the caller's first attempt, in ms
   */
  recordRequest(route: string, deadlineMs: number): number {
    const period = Math.floor(this.clock.now() / PERIOD_MS);
    const longest = this.currentLongest(route, period);
    longest.currentMs = Math.max(longest.currentMs, deadlineMs);
    const usualMs = Math.max(longest.currentMs, longest.previousMs);
    const lackingMs = usualMs - deadlineMs;
    return lackingMs > TOLERANCE * usualMs ? lackingMs : 0;
  }

  private currentLongest(route: string, period: number): Longest {
    const known = this.longestByRoute.get(route);
    if (known?.period === period) return known;
    const isPrevious = known?.period === period - 1;
    const longest = { period, currentMs: 0, previousMs: isPrevious ? known.currentMs : 0 };
    this.longestByRoute.delete(route);
    this.longestByRoute.set(route, longest);
    if (this.longestByRoute.size > MAX_ROUTES) {
      this.longestByRoute.delete(this.longestByRoute.keys().next().value!);
    }
    return longest;
  }
}
