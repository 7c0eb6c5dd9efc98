/**
 * Protocols of backend servers: OpenAI-style completions and embeddings, rerank, search, plain
 * calls and orders. The clients are agents; the stand-ins implement the servers.
 */
import { z } from 'zod';
import { Document } from './StageData.js';

/** Request headers that identify the request, attempt and client account of every backend call. */
export const REQUEST_ID_HEADER = 'x-request-id';
export const ATTEMPT_ID_HEADER = 'x-attempt-id';
export const CLIENT_ACCOUNT_HEADER = 'x-client-account';
/** Request header for the idempotency key. Plain services do not deduplicate by it. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** Response header of plain services with the busy time in milliseconds. */
export const SERVICE_MS_HEADER = 'x-service-ms';

/** Usage as reported by backend servers. `accelerator_ms` is the busy time in milliseconds. */
export const BackendUsage = z.object({
  prompt_tokens: z.number().int().nonnegative().default(0),
  completion_tokens: z.number().int().nonnegative().default(0),
  accelerator_ms: z.number().nonnegative().optional(),
});
export type BackendUsage = z.infer<typeof BackendUsage>;

/**
 * Body of `POST /v1/completions`. The response is a server-sent event stream if `stream` is true.
 */
export const CompletionRequest = z.object({
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.number().int().positive(),
  stream: z.boolean(),
  priority: z.number().int().optional(),
  /** Attempt id. A request with the id of a running completion resumes its stream. */
  request_id: z.string(),
  /** Offset of the first chunk to send; a value above 0 resumes the stream. */
  resume_from: z.number().int().nonnegative().default(0),
});
export type CompletionRequest = z.infer<typeof CompletionRequest>;

/**
 * One event of a completion stream. The last one contains `usage` and is followed by `data:
 * [DONE]`.
 */
export const CompletionChunk = z.object({
  id: z.string(),
  /** Index of the chunk in its stream, from 0. */
  offset: z.number().int().nonnegative(),
  choices: z.array(z.object({ text: z.string(), index: z.number().int() })),
  /** Tokens in this chunk. */
  tokens: z.number().int().nonnegative().default(1),
  usage: BackendUsage.optional(),
});
export type CompletionChunk = z.infer<typeof CompletionChunk>;

/**
 * Response of `DELETE /v1/completions/{request_id}`, which cancels a completion immediately.
 * `usage` is final and is also returned for completions that have already ended. Status 404 means
 * that the engine does not know the completion.
 */
export const CompletionCancelled = z.object({ id: z.string(), usage: BackendUsage });
export type CompletionCancelled = z.infer<typeof CompletionCancelled>;

/** Request and response body of `POST /v1/embeddings`. */
export const EmbeddingRequest = z.object({ model: z.string().optional(), input: z.string() });
export const EmbeddingResponse = z.object({
  data: z.array(z.object({ embedding: z.array(z.number()) })).min(1),
  usage: BackendUsage.optional(),
});

/** Request and response body of `POST /v1/search`. */
export const SearchRequest = z.object({ vector: z.array(z.number()), limit: z.number().int() });
export const SearchResponse = z.object({
  documents: z.array(Document),
  usage: BackendUsage.optional(),
});

/** Request and response body of `POST /v1/rerank`. */
export const RerankRequest = z.object({
  model: z.string().optional(),
  query: z.string(),
  documents: z.array(z.string()),
  top_n: z.number().int().positive(),
});
export const RerankResponse = z.object({
  results: z.array(z.object({ index: z.number().int(), relevance_score: z.number() })),
  usage: BackendUsage.optional(),
});

/** Response of `GET /v1/load`; out of date by the server's reporting lag. */
export const LoadReport = z.object({
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
});

/** Body of `POST /v1/orders`: the desired state of an engine. */
export const Order = z.object({
  fencing: z.number().int().positive(),
  holder: z.string(),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  version: z.string(),
  role: z.enum(['mixed', 'prefill', 'decode']),
});
export type Order = z.infer<typeof Order>;

/** Response of `GET /v1/orders`: the applied order and the highest fencing number received. */
export const OrderState = z.object({ applied: Order.nullable(), highestFencing: z.number().int() });
export type OrderState = z.infer<typeof OrderState>;

/**
 * Change of a prompt prefix cache. `block` is the hash of a prompt prefix up to the end of a block.
 */
export const CacheEvent = z.object({
  sequence: z.number().int().positive(),
  type: z.enum(['stored', 'evicted']),
  block: z.number().int().nonnegative(),
});
export type CacheEvent = z.infer<typeof CacheEvent>;

/**
 * Response of `GET /v1/cache-events?after=N`. Events are delayed, and their sequence may have gaps.
 */
export const CacheEventList = z.object({ events: z.array(CacheEvent) });
export type CacheEventList = z.infer<typeof CacheEventList>;
