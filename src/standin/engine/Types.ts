/** Options shared by the parts of the engine stand-in. */

/** Speed and limits of an engine. */
export interface EngineOptions {
  /** Completions in one batch. */
  readonly slots: number;
  /** Completions that may wait; more are answered with status 503. */
  readonly maxWaiting: number;
  /** Tokens per second of a completion that is alone in the batch. */
  readonly tokensPerSecond: number;
  /** Share by which each further completion in the batch lengthens a step. */
  readonly batchGrowth: number;
  /** Prompt tokens processed per second. */
  readonly promptTokensPerSecond: number;
  /** Prompt tokens processed in one step at most. */
  readonly promptTokensPerStep: number;
  /** Size of the prompt prefix cache, in tokens. */
  readonly cacheTokens: number;
  readonly tokensPerChunk: number;
  /** Time after which a completion without connection is cancelled, in milliseconds. */
  readonly resumeGraceMs: number;
  /** Time for which a finished completion can be resumed, in milliseconds. */
  readonly retainMs: number;
  /** Age at which cache events become visible, in milliseconds; the fault `lagMs` is added. */
  readonly cacheEventLagMs: number;
  /** Share of cache events that are never shown. */
  readonly cacheEventGapShare: number;
  /** Models loaded at the start. While no models are named here or in an order, any is served. */
  readonly models: readonly string[];
  /** URL of the weight store; without it models load at once. */
  readonly weightsUrl?: string | undefined;
  readonly seed: number;
}
