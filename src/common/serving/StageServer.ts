import type { BackendServer } from './ServingConfiguration.js';
import type { CallOutcome } from './StageQueue.js';

/** Weight of the newest call in the estimate of a server's slowness. */
const SLOWNESS_GAIN = 0.4;

/** The estimate halves its distance to 1 in this time, so that a slow server is tried again. */
const SLOWNESS_HALF_LIFE_MS = 3000;

/** A server that failed is left out for this long, doubled with each failure in a row. */
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 4000;

/** A server without room gets no call until results were released, or for this long. */
const NO_ROOM_PAUSE_MS = 60;

interface CallInProgress {
  readonly startedAt: number;
  readonly expectedMs: number;
  /** Memory that its results will take, in bytes. */
  readonly bytes: number;
}

interface HeldResult {
  readonly bytes: number;
  readonly retainedUntil: number;
}

/** What is known of one server of a stage service: its calls, memory, speed and failures. */
export class StageServer {
  private readonly calls = new Map<number, CallInProgress>();

  private readonly results = new Map<string, HeldResult>();

  private heldBytes = 0;

  private failures = 0;

  private pausedUntil = -Infinity;

  private slownessEstimate = 1;

  private slownessAt = 0;

  constructor(public server: BackendServer) {}

  /** Duration of its calls over the expected one. */
  get slowness(): number {
    return this.slownessEstimate;
  }

  isHealthy(now: number): boolean {
    return now >= this.pausedUntil;
  }

  isFree(now: number, concurrentCalls: number): boolean {
    this.decaySlowness(now);
    return this.isHealthy(now) && this.calls.size < concurrentCalls;
  }

  /** @returns memory of results made and to be made, in bytes */
  usedBytes(now: number): number {
    this.dropExpired(now);
    let sum = this.heldBytes;
    this.calls.forEach(({ bytes }) => {
      sum += bytes;
    });
    return sum;
  }

  start(callId: number, call: CallInProgress): void {
    this.calls.set(callId, call);
  }

  /** @returns expected end of its calls in progress, on the clock */
  freeAt(now: number): number {
    const ends = [...this.calls.values()].map(
      ({ startedAt, expectedMs }) => startedAt + expectedMs * this.slownessEstimate,
    );
    return Math.max(now, ...ends);
  }

  /**
   * Notes the end of a call and judges the server by it.
   * @returns duration of a call that was answered, in ms
   */
  finish(callId: number, outcome: CallOutcome, now: number): number | undefined {
    const call = this.calls.get(callId);
    this.calls.delete(callId);
    if (!call) return undefined;
    if (outcome.kind !== 'answered') {
      this.pause(now);
      return undefined;
    }
    this.failures = 0;
    const ratio = Math.max(1, (now - call.startedAt) / call.expectedMs);
    this.slownessEstimate += SLOWNESS_GAIN * (ratio - this.slownessEstimate);
    this.slownessAt = now;
    const isFull = outcome.pieces.some(({ kind }) => kind === 'no-room');
    if (isFull) this.pausedUntil = now + NO_ROOM_PAUSE_MS;
    return now - call.startedAt;
  }

  hold(handle: string, result: HeldResult): void {
    this.results.set(handle, result);
    this.heldBytes += result.bytes;
  }

  release(handles: readonly string[]): void {
    handles.forEach((handle) => this.drop(handle));
  }

  /** Results expire in the order in which they were made. */
  private dropExpired(now: number): void {
    for (const [handle, { retainedUntil }] of this.results) {
      if (retainedUntil > now) return;
      this.drop(handle);
    }
  }

  private drop(handle: string): void {
    this.heldBytes -= this.results.get(handle)?.bytes ?? 0;
    this.results.delete(handle);
  }

  private pause(now: number): void {
    const length = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.failures);
    this.failures += 1;
    this.pausedUntil = now + length;
  }

  private decaySlowness(now: number): void {
    const elapsed = now - this.slownessAt;
    this.slownessAt = now;
    this.slownessEstimate =
      1 + (this.slownessEstimate - 1) * 0.5 ** (elapsed / SLOWNESS_HALF_LIFE_MS);
  }
}
