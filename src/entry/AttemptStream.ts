import { setTimeout as sleep } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import type { RevisionNotice, Frame } from '../common/protocol/Attempt.js';
import type { Clock } from '../common/time/Types.js';
import { AttemptConnection, type ConnectionEnd } from './AttemptConnection.js';
import { findFrameProblem } from './FrameCheck.js';
import type { AttemptEnd, AttemptListener, OutgoingAttempt } from './Types.js';

/** Consecutive connections without a valid frame after which the agent is reported as lost. */
const MAX_EMPTY_CONNECTIONS = 2;

/** Limits the connections of one attempt to an agent that keeps breaking them. */
const MAX_CONNECTIONS = 8;

/**
 * Step by which the pause grows with each re-send after the first, so that an agent that breaks
 * connections is not flooded.
 */
const RESEND_PAUSE_MS = 20;

/** Services that {@link AttemptStream} uses. */
export interface AttemptStreamServices {
  readonly clock: Clock;
  /** @returns the connection pool for a first send, or a separate connection for a re-send. */
  dispatcher(address: string, isResend: boolean): { dispatcher: Dispatcher; release: () => void };
  /** @returns HTTP headers of the attempt. */
  headers(): Record<string, string>;
  /** @returns `ip:port` of this entry. */
  sender(): string;
  /** @returns the configuration revision that this entry knows. */
  notice(): RevisionNotice;
  /** Called with the configuration revision that an agent reports. */
  onNotice(address: string, notice: RevisionNotice): void;
}

/**
 * Reads the frames of one attempt to its end. When a connection breaks, sends the attempt again on
 * a new connection, with the next chunk offset wanted.
 */
export class AttemptStream {
  private nextOffset = 0;

  private incarnation: string | null = null;

  private framesOnConnection = 0;

  constructor(
    private readonly services: AttemptStreamServices,
    private readonly attempt: OutgoingAttempt,
    private readonly listener: AttemptListener,
    private readonly signal: AbortSignal,
  ) {}

  /** @returns how the attempt ended. */
  async run(): Promise<AttemptEnd> {
    let emptyConnections = 0;
    let sent = false;
    let message = '';
    for (let connection = 0; connection < MAX_CONNECTIONS; connection += 1) {
      if (connection > 0) {
        await this.pause((connection - 1) * RESEND_PAUSE_MS);
        this.listener.onResend(message);
      }
      const end = await this.followConnection(connection > 0);
      if (end.kind === 'final') return end.end;
      if (this.signal.aborted) return { kind: 'stopped' };
      if (end.kind === 'unconnected') {
        return { kind: sent ? 'lost' : 'not-sent', message: end.message };
      }
      if (end.kind === 'rejected' && !sent) return { kind: 'not-sent', message: end.message };
      sent = true;
      message = end.message;
      emptyConnections = this.framesOnConnection > 0 ? 0 : emptyConnections + 1;
      if (emptyConnections >= MAX_EMPTY_CONNECTIONS) break;
    }
    return { kind: 'lost', message };
  }

  private async pause(ms: number): Promise<void> {
    if (ms === 0) return;
    await sleep(ms, undefined, { signal: this.signal }).catch(() => undefined);
  }

  private async followConnection(isResend: boolean): Promise<ConnectionEnd> {
    const { address } = this.attempt;
    const { dispatcher, release } = this.services.dispatcher(address, isResend);
    const connection = new AttemptConnection(
      dispatcher,
      (frame) => this.handleFrame(frame),
      release,
    );
    const stop = () => connection.abort('stopped');
    this.framesOnConnection = 0;
    const request = { address, headers: this.services.headers(), body: this.createBody() };
    const end = connection.run(request);
    if (this.signal.aborted) stop();
    this.signal.addEventListener('abort', stop);
    try {
      return await end;
    } finally {
      this.signal.removeEventListener('abort', stop);
    }
  }

  private createBody(): string {
    const remainingMs = Math.max(0, this.attempt.deadlineAt - this.services.clock.now());
    return JSON.stringify({
      ...this.attempt.content,
      remainingMs,
      resumeFrom: this.nextOffset,
      notice: this.services.notice(),
      sender: this.services.sender(),
    });
  }

  /** @returns the end of the connection, or null if more frames follow. */
  private handleFrame(frame: Frame): ConnectionEnd | null {
    const problem = findFrameProblem(frame, this.attempt.content);
    if (problem) return { kind: 'broken', message: problem };
    if (!this.checkIncarnation(frame.incarnation)) {
      return { kind: 'broken', message: 'agent restarted' };
    }
    if (frame.type === 'chunk') return this.handleChunk(frame);
    this.framesOnConnection += 1;
    this.listener.onLoadReport(frame.load, frame.incarnation);
    this.services.onNotice(this.attempt.address, frame.notice);
    if (frame.type === 'accepted' || frame.type === 'heartbeat') return null;
    if (frame.type === 'result') {
      if (frame.chunks > this.nextOffset) {
        return { kind: 'broken', message: 'chunks are missing' };
      }
      return { kind: 'final', end: { kind: 'result', frame } };
    }
    const end: AttemptEnd =
      frame.type === 'refused' ? { kind: 'refused', frame } : { kind: 'failed', frame };
    return { kind: 'final', end };
  }

  private handleChunk(frame: Extract<Frame, { type: 'chunk' }>): ConnectionEnd | null {
    if (frame.offset > this.nextOffset) return { kind: 'broken', message: 'chunks are missing' };
    // Already received: after a reconnect the agent may send chunks again.
    if (frame.offset < this.nextOffset) return null;
    this.framesOnConnection += 1;
    this.nextOffset += 1;
    this.listener.onChunk(frame.offset, frame.text);
    return null;
  }

  /**
   * Tracks the agent's incarnation.
   * @returns false if a new incarnation answers and the chunks received so far are discarded
   */
  private checkIncarnation(incarnation: string): boolean {
    const restarted = this.incarnation !== null && this.incarnation !== incarnation;
    this.incarnation = incarnation;
    if (!restarted || this.nextOffset === 0) return true;
    this.nextOffset = 0;
    this.listener.onRestart();
    return false;
  }
}
