import type { BackendServer } from './ServingConfiguration.js';
import type { CallOutcome } from './Types.js';

/** Weight of the newest call in the moving average of a server's slowness. */
const SLOWNESS_WEIGHT = 0.4;

/** Half-life of the slowness above 1, in ms, so that a slow server is tried again. */
const SLOWNESS_HALF_LIFE_MS = 3000;

/** Time without calls after a failed call, in ms; doubles with each consecutive failure. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4000;

/** Time without calls after a server had no memory for a result, in ms. */
const NO_ROOM_PAUSE_MS = 60;

interface CallInProgress {
  /** On the clock, in ms. */
  readonly startedAt: number;
  /** Expected duration, in ms. */
  readonly expectedMs: number;
  /** Memory needed for the results of the call, in bytes. */
  readonly bytes: number;
}

interface StoredResult {
  readonly bytes: number;
  /** Time at which the server drops the result, on the clock, in ms. */
  readonly retainedUntil: number;
}

/** State of one server of a stage service: calls in progress, memory, speed and failures. */
export class StageServerState {
  private readonly calls = new Map<number, CallInProgress>();

  private readonly results = new Map<string, StoredResult>();

  private storedBytes = 0;

  private consecutiveFailures = 0;

  private pausedUntil = -Infinity;

  private slownessEstimate = 1;

  private slownessAt = 0;

  /** @param server - current registration of the server */
  constructor(public server: BackendServer) {}

  /** Moving average of actual over expected call duration; at least 1. */
  get slowness(): number {
    return this.slownessEstimate;
  }

  /** Whether the server is not paused after a failure or for lack of memory. */
  isHealthy(now: number): boolean {
    return now >= this.pausedUntil;
  }

  /** Whether the server can take another call. */
  isFree(now: number, concurrentCalls: number): boolean {
    this.decaySlowness(now);
    return this.isHealthy(now) && this.calls.size < concurrentCalls;
  }

  /** @returns memory of the results that the server holds or is producing, in bytes */
  usedBytes(now: number): number {
    this.removeExpired(now);
    let sum = this.storedBytes;
    this.calls.forEach(({ bytes }) => {
      sum += bytes;
    });
    return sum;
  }

  /** Records the start of a call. */
  startCall(callId: number, call: CallInProgress): void {
    this.calls.set(callId, call);
  }

  /** @returns expected end of all calls in progress, on the clock, in ms */
  freeAt(now: number): number {
    const ends = [...this.calls.values()].map(
      ({ startedAt, expectedMs }) => startedAt + expectedMs * this.slownessEstimate,
    );
    return Math.max(now, ...ends);
  }

  /**
   * Records the end of a call and updates the health and slowness of the server.
   * @param callId - id of the call
   * @param outcome - how the call ended
   * @param now - current time, on the clock, in ms
   * @returns duration of the call in ms; undefined if it was not answered
   */
  finishCall(callId: number, outcome: CallOutcome, now: number): number | undefined {
    const call = this.calls.get(callId);
    this.calls.delete(callId);
    if (!call) return undefined;
    if (outcome.kind !== 'answered') {
      this.backOff(now);
      return undefined;
    }
    this.consecutiveFailures = 0;
    const observedSlowness = Math.max(1, (now - call.startedAt) / call.expectedMs);
    this.slownessEstimate += SLOWNESS_WEIGHT * (observedSlowness - this.slownessEstimate);
    this.slownessAt = now;
    const isOutOfMemory = outcome.pieces.some(({ kind }) => kind === 'no-room');
    if (isOutOfMemory) this.pausedUntil = now + NO_ROOM_PAUSE_MS;
    return now - call.startedAt;
  }

  /** Records a result that the server holds. */
  storeResult(handle: string, result: StoredResult): void {
    this.results.set(handle, result);
    this.storedBytes += result.bytes;
  }

  /** Records that results were released. */
  release(handles: readonly string[]): void {
    handles.forEach((handle) => this.removeResult(handle));
  }

  /** Removes expired results, which are stored in the order of their expiry. */
  private removeExpired(now: number): void {
    for (const [handle, { retainedUntil }] of this.results) {
      if (retainedUntil > now) return;
      this.removeResult(handle);
    }
  }

  private removeResult(handle: string): void {
    this.storedBytes -= this.results.get(handle)?.bytes ?? 0;
    this.results.delete(handle);
  }

  private backOff(now: number): void {
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.consecutiveFailures);
    this.consecutiveFailures += 1;
    this.pausedUntil = now + backoffMs;
  }

  private decaySlowness(now: number): void {
    const elapsed = now - this.slownessAt;
    this.slownessAt = now;
    this.slownessEstimate =
      1 + (this.slownessEstimate - 1) * 0.5 ** (elapsed / SLOWNESS_HALF_LIFE_MS);
  }
}

/** @returns expected time at which a server is free, on the clock, by failure domain */
export function freeTimesByDomain(
  servers: readonly StageServerState[],
  now: number,
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  servers.forEach((state) => {
    const { failureDomain } = state.server;
    times.set(failureDomain, Math.min(times.get(failureDomain) ?? Infinity, state.freeAt(now)));
  });
  return times;
}
