import type { CompletionChunk } from '../../common/protocol/Backend.js';
import type { Disposable } from '../../common/events/Types.js';
import type { Call } from '../http/Call.js';
import type { EngineRun, RunChunk } from './EngineRun.js';

/** Sends a completion to one connection as server-sent events. */
export class CompletionStream implements Disposable {
  private readonly subscription: Disposable;

  /** Chunk offset at which the fault `truncatedShare` closes the connection. */
  private readonly truncationOffset: number;

  /**
   * @param call - call to respond to
   * @param run - completion to send
   * @param nextOffset - offset of the first chunk to send
   */
  constructor(
    private readonly call: Call,
    private readonly run: EngineRun,
    private nextOffset: number,
  ) {
    const { isTruncated } = call.responseFault;
    this.truncationOffset = isTruncated ? Math.ceil((nextOffset + run.chunkCount) / 2) : Infinity;
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
      if (this.nextOffset >= this.truncationOffset) {
        this.dispose();
        this.call.destroy();
        return;
      }
      const chunk = this.run.chunk(this.nextOffset);
      if (!chunk) break;
      this.nextOffset += 1;
      this.call.response.write(`data: ${JSON.stringify(createEvent(this.run, chunk))}\n\n`);
    }
    if (this.run.hasEnded) this.endResponse();
  }

  /** Ends the response. Without `[DONE]` the client detects that a completion was cancelled. */
  private endResponse(): void {
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
 * Returns the usage of a completion.
 * @param run - completion, which may still run
 * @returns usage so far
 */
export function usageOf(run: EngineRun): NonNullable<CompletionChunk['usage']> {
  return {
    prompt_tokens: run.promptTokens,
    completion_tokens: run.tokensGenerated,
    accelerator_ms: run.runRecord?.acceleratorMs ?? 0,
  };
}
