import type { ServerResponse } from 'node:http';
import type { z } from 'zod';
import type { AttemptOutput } from '../common/attempts/AttemptOutput.js';
import type { AttemptOutcome } from '../common/attempts/Types.js';
import type { Attempt, Frame, Load, RevisionNotice } from '../common/protocol/Attempt.js';
import type { Disposable } from '../common/events/Types.js';

/** Maximum number of frames per write, so that back-pressure of a slow reader takes effect. */
const MAX_FRAMES_PER_WRITE = 128;

/**
 * A heartbeat is skipped if a frame was written within this time. The longest silence is then this
 * plus one heartbeat interval, 350 ms, less than half of the silence after which an entry
 * reconnects.
 */
const HEARTBEAT_SUPPRESSION_MS = 100;

/** Fields common to all frames; chunk frames carry only the incarnation. */
export interface FrameContext {
  readonly incarnation: string;
  notice(): RevisionNotice;
  load(): Load;
}

type FrameBody = Frame extends infer F
  ? F extends Frame
    ? Omit<F, 'attemptId' | 'incarnation' | 'notice' | 'load'>
    : never
  : never;

/**
 * Writes the frames of one attempt to one connection, starting at the requested chunk. While the
 * connection is back-pressured, no frames are created; their chunks are read from the attempt's
 * stream later, so a slow reader needs no additional memory.
 */
export class FrameStream implements Disposable {
  private subscription: Disposable | null = null;

  private nextOffset: number;

  private backpressured = false;

  private lastFrameAt = -Infinity;

  private flushScheduled = false;

  private closed = false;

  /**
   * @param response - response to write to
   * @param attempt - attempt as received on this connection
   * @param output - output of the attempt
   * @param context - incarnation, configuration notice, load
   * @param onClose - called once, after the final frame or when the connection closes
   */
  constructor(
    private readonly response: ServerResponse,
    private readonly attempt: Attempt,
    private readonly output: AttemptOutput,
    private readonly context: FrameContext,
    private readonly onClose: () => void,
  ) {
    this.nextOffset = attempt.resumeFrom;
  }

  /** Writes the frames available now, then each new one. */
  start(): void {
    this.subscription = this.output.onChange(() => this.scheduleFlush());
    this.response.on('drain', () => this.resumeWriting());
    this.response.on('close', () => this.dispose());
    this.response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    this.flush(this.output.outcome?.type === 'refused' ? [] : [{ type: 'accepted' }]);
  }

  /**
   * Writes a heartbeat, which shows the entry that the connection works. Skipped if another frame
   * has just shown the same.
   */
  heartbeat(): void {
    if (this.closed || this.backpressured) return;
    if (performance.now() - this.lastFrameAt < HEARTBEAT_SUPPRESSION_MS) return;
    this.write([{ type: 'heartbeat' }]);
  }

  dispose(): void {
    if (this.closed) return;
    this.closed = true;
    this.subscription?.dispose();
    this.onClose();
  }

  private resumeWriting(): void {
    this.backpressured = false;
    this.flush();
  }

  /** Combines the frames of one event-loop turn into one write: writes are the main cost. */
  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      this.flush();
    });
  }

  private flush(bodies: FrameBody[] = []): void {
    if (this.closed || this.backpressured) return;
    const { chunks, outcome } = this.output;
    while (bodies.length < MAX_FRAMES_PER_WRITE && this.nextOffset < chunks.length) {
      const offset = this.nextOffset;
      this.nextOffset += 1;
      bodies.push({ type: 'chunk', offset, ...chunks[offset]! });
    }
    const isComplete = this.nextOffset >= chunks.length;
    if (outcome && isComplete) {
      this.response.end(this.serialize([...bodies, this.finalFrame(outcome)]));
      this.dispose();
    } else if (bodies.length > 0) {
      this.write(bodies);
      if (!isComplete) this.scheduleFlush();
    }
  }

  private finalFrame(outcome: AttemptOutcome): FrameBody {
    if (outcome.type !== 'result') return outcome;
    const { requestId, account, stage } = this.attempt;
    // Usage is charged to the request that started the attempt; a request that joined it gets the
    // result as replayed.
    const isJoined = this.output.requestId !== undefined && this.output.requestId !== requestId;
    return {
      ...outcome,
      requestId,
      account,
      stage,
      chunks: this.output.chunks.length,
      replayed: outcome.replayed || isJoined,
    };
  }

  private write(bodies: readonly FrameBody[]): void {
    this.lastFrameAt = performance.now();
    this.backpressured = !this.response.write(this.serialize(bodies));
  }

  private serialize(bodies: readonly FrameBody[]): string {
    const { incarnation } = this.context;
    const { attemptId } = this.attempt;
    const chunkFields = { attemptId, incarnation };
    const isChunk = (body: FrameBody) => body.type === 'chunk';
    const fields = bodies.every(isChunk)
      ? chunkFields
      : {
          ...chunkFields,
          notice: roundNotice(this.context.notice()),
          load: omitDefaults(this.context.load()),
        };
    return bodies
      .map((body) => `${JSON.stringify({ ...body, ...(isChunk(body) ? chunkFields : fields) })}\n`)
      .join('');
  }
}

/** Rounds the age up to whole milliseconds; a lower age would claim a more recent confirmation. */
function roundNotice({ revision, confirmedAgeMs }: RevisionNotice): RevisionNotice {
  return { revision, confirmedAgeMs: confirmedAgeMs === null ? null : Math.ceil(confirmedAgeMs) };
}

/** Omits fields at their defaults, because every attempt sends the load at least twice. */
function omitDefaults({ slots, running, waiting, waitMs, draining }: Load): z.input<typeof Load> {
  return {
    slots,
    running,
    ...(waiting > 0 && { waiting }),
    ...(waitMs > 0 && { waitMs: Math.round(waitMs) }),
    ...(draining && { draining }),
  };
}
