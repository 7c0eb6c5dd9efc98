import type { CompletionChunk } from '../../common/protocol/Backend.js';
import type { Disposable } from '../../common/events/Types.js';
import type { Call } from '../http/Call.js';
import type { EngineRun, RunChunk } from './EngineRun.js';

/** Server-sent events of one connection that reads a completion. */
export class CompletionStream implements Disposable {
  private readonly subscription: Disposable;

  /** Offset after which the connection is closed, for the fault `truncatedShare`. */
  private readonly cutOffset: number;

  /**
   * @param call - call to answer
   * @param run - completion to read
   * @param nextOffset - first chunk wanted
   */
  constructor(
    private readonly call: Call,
    private readonly run: EngineRun,
    private nextOffset: number,
  ) {
    const { isTruncated } = call.responseFault;
    this.cutOffset = isTruncated ? Math.ceil((nextOffset + run.chunkCount) / 2) : Infinity;
    call.response.writeHead(200, { 'content-type': 'text/event-stream' });
    call.response.flushHeaders();
    this.subscription = run.progress.event(() => this.write());
    this.write();
  }

  dispose(): void {
    this.subscription.dispose();
  }

  private write(): void {
    for (;;) {
      if (this.nextOffset >= this.cutOffset) {
        this.dispose();
        this.call.destroy();
        return;
      }
      const chunk = this.run.chunk(this.nextOffset);
      if (!chunk) break;
      this.nextOffset += 1;
      this.call.response.write(`data: ${JSON.stringify(createEvent(this.run, chunk))}\n\n`);
    }
    if (this.run.isOver) this.end();
  }

  /** A cancelled completion ends without `[DONE]`, so that the client sees that it is incomplete. */
  private end(): void {
    this.dispose();
    if (this.run.state === 'finished') this.call.response.end('data: [DONE]\n\n');
    else this.call.destroy();
  }
}

function createEvent(run: EngineRun, chunk: RunChunk): CompletionChunk {
  const isLast = chunk.offset === run.chunkCount - 1;
  return {
    id: run.request.request_id,
    offset: chunk.offset,
    choices: [{ text: chunk.text, index: 0 }],
    tokens: chunk.tokens,
    ...(isLast ? { usage: usageOf(run) } : {}),
  };
}

/**
 * @param run - a completion
 * @returns its usage so far
 */
export function usageOf(run: EngineRun): NonNullable<CompletionChunk['usage']> {
  return {
    prompt_tokens: run.promptTokens,
    completion_tokens: run.tokensGenerated,
    accelerator_ms: run.record?.acceleratorMs ?? 0,
  };
}
