/**
 * Protocols of backend servers: OpenAI-style completions and embeddings, rerank, search, plain calls, orders.
 * Agents are the clients; the stand-ins are the servers.
 */
import { z } from 'zod';
import { Document } from './StageData.js';

/** Headers that identify the work of every backend call. */
export const REQUEST_ID_HEADER = 'x-request-id';
export const ATTEMPT_ID_HEADER = 'x-attempt-id';
export const CLIENT_ACCOUNT_HEADER = 'x-client-account';
/** Only a label for plain services; they do not deduplicate by it. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** Response header of plain services: busy time in milliseconds. */
export const SERVICE_MS_HEADER = 'x-service-ms';

/** Usage as backend servers report it. `accelerator_ms` is busy time in milliseconds. */
export const BackendUsage = z.object({
  prompt_tokens: z.number().int().nonnegative().default(0),
  completion_tokens: z.number().int().nonnegative().default(0),
  accelerator_ms: z.number().nonnegative().optional(),
});
export type BackendUsage = z.infer<typeof BackendUsage>;

/** Body of `POST /v1/completions`. The answer is a stream of server-sent events if `stream` is true. */
export const CompletionRequest = z.object({
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.number().int().positive(),
  stream: z.boolean(),
  priority: z.number().int().optional(),
  /** Attempt id; the engine resumes a running stream under the same id. */
  request_id: z.string(),
  /** First chunk wanted; larger than 0 resumes. */
  resume_from: z.number().int().nonnegative().default(0),
});
export type CompletionRequest = z.infer<typeof CompletionRequest>;

/** One event of a completion stream. The last one has `usage`; then `data: [DONE]` follows. */
export const CompletionChunk = z.object({
  id: z.string(),
  /** Chunks of one stream are numbered from 0. */
  offset: z.number().int().nonnegative(),
  choices: z.array(z.object({ text: z.string(), index: z.number().int() })),
  /** Tokens in this chunk. */
  tokens: z.number().int().nonnegative().default(1),
  usage: BackendUsage.optional(),
});
export type CompletionChunk = z.infer<typeof CompletionChunk>;

/**
 * Answer of `DELETE /v1/completions/{request_id}`, which cancels a completion at once. `usage` is final; it is
 * also given for a completion that is already over. Status 404: the engine does not know the completion.
 */
export const CompletionCancelled = z.object({ id: z.string(), usage: BackendUsage });
export type CompletionCancelled = z.infer<typeof CompletionCancelled>;

/** Body and answer of `POST /v1/embeddings`. */
export const EmbeddingRequest = z.object({ model: z.string().optional(), input: z.string() });
export const EmbeddingResponse = z.object({
  data: z.array(z.object({ embedding: z.array(z.number()) })).min(1),
  usage: BackendUsage.optional(),
});

/** Body and answer of `POST /v1/search`. */
export const SearchRequest = z.object({ vector: z.array(z.number()), limit: z.number().int() });
export const SearchResponse = z.object({
  documents: z.array(Document),
  usage: BackendUsage.optional(),
});

/** Body and answer of `POST /v1/rerank`. */
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

/** Answer of `GET /v1/load`; late by the server's reporting lag. */
export const LoadReport = z.object({
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
});

/** Body of `POST /v1/orders`: the wanted state of an engine. */
export const Order = z.object({
  fencing: z.number().int().positive(),
  holder: z.string(),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  version: z.string(),
  role: z.enum(['mixed', 'prefill', 'decode']),
});
export type Order = z.infer<typeof Order>;

/** Answer of `GET /v1/orders`: the state in force and the highest fencing number seen. */
export const OrderState = z.object({ applied: Order.nullable(), highestFencing: z.number().int() });
export type OrderState = z.infer<typeof OrderState>;

/** Change of a prompt prefix cache. `block` is a hash of a prompt prefix up to the end of a block. */
export const CacheEvent = z.object({
  sequence: z.number().int().positive(),
  type: z.enum(['stored', 'evicted']),
  block: z.number().int().nonnegative(),
});
export type CacheEvent = z.infer<typeof CacheEvent>;

/** Answer of `GET /v1/cache-events?after=N`: late, and with gaps in the sequence. */
export const CacheEventList = z.object({ events: z.array(CacheEvent) });
export type CacheEventList = z.infer<typeof CacheEventList>;
