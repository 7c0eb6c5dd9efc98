import type { CompletionRequest } from '../../common/protocol/Backend.js';
import { Emitter } from '../../common/events/Emitter.js';
import { completionTokens, countTokens } from '../Answers.js';
import type { Run } from '../Faults.js';
import type { WorkLabels } from '../http/Call.js';

/** Chunk of a completion, from the view of a client that resumes at an offset. */
export interface RunChunk {
  readonly offset: number;
  readonly text: string;
  readonly tokens: number;
}

/** One completion in an engine. */
export class EngineRun {
  state: 'waiting' | 'running' | 'finished' | 'cancelled' = 'waiting';

  /** True if the completion is over and charged for its last step. */
  isSettled = false;

  /** Prompt tokens that still have to be processed. */
  promptTokensLeft: number;

  /** Record in the run log, made when the completion joins the batch. */
  record: Run | undefined;

  /** Fires when tokens were generated or the state has changed. */
  readonly progress = new Emitter<void>();

  readonly promptTokens: number;

  private readonly tokens: readonly string[];

  private generated = 0;

  /**
   * @param request - what to complete
   * @param labels - whose work it is
   * @param tokensPerChunk - tokens in each chunk except the last
   */
  constructor(
    readonly request: CompletionRequest,
    readonly labels: WorkLabels,
    private readonly tokensPerChunk: number,
  ) {
    this.tokens = completionTokens(request);
    this.promptTokens = countTokens(request.prompt);
    this.promptTokensLeft = this.promptTokens;
  }

  get tokensGenerated(): number {
    return this.generated;
  }

  /** Number of chunks of the whole completion. */
  get chunkCount(): number {
    return Math.ceil(this.tokens.length / this.tokensPerChunk);
  }

  get isOver(): boolean {
    return this.state === 'finished' || this.state === 'cancelled';
  }

  /** @returns the text generated so far. */
  get text(): string {
    return this.tokens.slice(0, this.generated).join('');
  }

  /**
   * Generates one token.
   * @returns true if it was the last
   */
  generate(): boolean {
    this.generated += 1;
    return this.generated >= this.tokens.length;
  }

  /**
   * @param offset - number of a chunk
   * @returns the chunk, or undefined if not all of its tokens are generated
   */
  chunk(offset: number): RunChunk | undefined {
    const start = offset * this.tokensPerChunk;
    const end = Math.min(start + this.tokensPerChunk, this.tokens.length);
    if (start >= end || end > this.generated) return undefined;
    return { offset, text: this.tokens.slice(start, end).join(''), tokens: end - start };
  }

  /**
   * @param request - a request with the same id
   * @returns true if it asks for this completion
   */
  matches(request: CompletionRequest): boolean {
    const { model, prompt, max_tokens: maxTokens } = this.request;
    return request.model === model && request.prompt === prompt && request.max_tokens === maxTokens;
  }
}
