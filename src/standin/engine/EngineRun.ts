import type { CompletionRequest } from '../../common/protocol/Backend.js';
import { Emitter } from '../../common/events/Emitter.js';
import { completionTokens, countTokens } from '../BackendOutput.js';
import type { RunRecord } from '../Faults.js';
import type { WorkLabels } from '../http/Call.js';

/** Chunk of a completion. Clients resume a stream at a chunk offset. */
export interface RunChunk {
  /** Index of the chunk in the completion. */
  readonly offset: number;
  readonly text: string;
  readonly tokens: number;
}

/** One completion in an engine. */
export class EngineRun {
  state: 'waiting' | 'running' | 'finished' | 'cancelled' = 'waiting';

  /** Whether the completion has ended and is charged for its last step. */
  isUsageFinal = false;

  /** Number of prompt tokens that are not processed yet. */
  promptTokensLeft: number;

  /** Record in the run log; set when the completion joins the batch. */
  runRecord: RunRecord | undefined;

  /** Fired when tokens were generated or the state has changed. */
  readonly progress = new Emitter<void>();

  readonly promptTokens: number;

  private readonly tokens: readonly string[];

  private generatedCount = 0;

  /**
   * @param request - request for the completion
   * @param labels - identifiers of the call
   * @param tokensPerChunk - number of tokens in each chunk except the last
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
    return this.generatedCount;
  }

  /** Number of chunks of the complete output. */
  get chunkCount(): number {
    return Math.ceil(this.tokens.length / this.tokensPerChunk);
  }

  get hasEnded(): boolean {
    return this.state === 'finished' || this.state === 'cancelled';
  }

  /** Text generated so far. */
  get text(): string {
    return this.tokens.slice(0, this.generatedCount).join('');
  }

  /**
   * Generates one token.
   * @returns true if it was the last token
   */
  generateToken(): boolean {
    this.generatedCount += 1;
    return this.generatedCount >= this.tokens.length;
  }

  /**
   * Returns a chunk of the output.
   * @param offset - index of the chunk
   * @returns the chunk, or undefined if not all of its tokens are generated
   */
  chunk(offset: number): RunChunk | undefined {
    const start = offset * this.tokensPerChunk;
    const end = Math.min(start + this.tokensPerChunk, this.tokens.length);
    if (start >= end || end > this.generatedCount) return undefined;
    return { offset, text: this.tokens.slice(start, end).join(''), tokens: end - start };
  }

  /**
   * Whether a request with the same id asks for this completion.
   * @param request - request to compare
   * @returns true if model, prompt and token limit are equal
   */
  matches(request: CompletionRequest): boolean {
    const { model, prompt, max_tokens: maxTokens } = this.request;
    return request.model === model && request.prompt === prompt && request.max_tokens === maxTokens;
  }
}
