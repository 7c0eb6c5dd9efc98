/** Backend protocols of the stage kinds. */
import type { z } from 'zod';
import {
  EmbeddingRequest,
  EmbeddingResponse,
  RerankRequest,
  RerankResponse,
  SERVICE_MS_HEADER,
  SearchRequest,
  SearchResponse,
} from '../../common/protocol/Backend.js';
import type { StageKind } from '../../common/protocol/Attempt.js';
import {
  CallInput,
  EncodeInput,
  RerankInput,
  RetrieveInput,
} from '../../common/protocol/StageData.js';
import type { BackendCall } from '../Types.js';
import type { BackendClient, BackendResult, JsonResponse } from './BackendClient.js';
import { generate } from './GenerateHandler.js';
import { usageOf } from './ReportedUsage.js';
import type { StageHandler } from './Types.js';

/** Handler of each stage kind. */
export const STAGE_HANDLERS: Readonly<Record<StageKind, StageHandler>> = {
  encode: async (call, client) => {
    const { text } = EncodeInput.parse(call.attempt.input);
    const body: z.infer<typeof EmbeddingRequest> = { model: call.attempt.model, input: text };
    return mapResult(await postWithRetry(call, client, '/v1/embeddings', body), (response) => {
      const { data, usage } = EmbeddingResponse.parse(response.body);
      return { output: { vector: data[0]!.embedding }, usage: usageOf(usage) };
    });
  },

  retrieve: async (call, client) => {
    const body: z.infer<typeof SearchRequest> = RetrieveInput.parse(call.attempt.input);
    return mapResult(await postWithRetry(call, client, '/v1/search', body), (response) => {
      const { documents, usage } = SearchResponse.parse(response.body);
      return { output: { documents }, usage: usageOf(usage) };
    });
  },

  rerank: async (call, client) => {
    const { query, documents, limit } = RerankInput.parse(call.attempt.input);
    const body: z.infer<typeof RerankRequest> = {
      model: call.attempt.model,
      query,
      documents: documents.map((document) => document.text),
      top_n: limit,
    };
    return mapResult(await postWithRetry(call, client, '/v1/rerank', body), (response) => {
      const { results, usage } = RerankResponse.parse(response.body);
      const ranked = results.slice(0, limit).flatMap(({ index }) => documents[index] ?? []);
      return { output: { documents: ranked }, usage: usageOf(usage) };
    });
  },

  generate,

  call: async (call, client) => {
    const { body } = CallInput.parse(call.attempt.input);
    const path = `/${encodeURIComponent(call.attempt.operation ?? '')}`;
    return mapResult(await postWithRetry(call, client, path, body ?? {}), (response) => {
      const serviceMs = Number(response.headers[SERVICE_MS_HEADER] ?? Number.NaN);
      const usage = serviceMs >= 0 ? { acceleratorMs: serviceMs } : {};
      return { output: { body: response.body }, usage };
    });
  },
};

/**
 * Retries an idempotent call once after a broken connection, because idle connections may break
 * when they are reused.
 */
async function postWithRetry(
  call: BackendCall,
  client: BackendClient,
  path: string,
  body: unknown,
): Promise<BackendResult<JsonResponse>> {
  const { attempt, signal } = call;
  const first = await client.postForJson(attempt, path, body, signal);
  const isRetryable = attempt.idempotent && !first.ok && first.error.kind === 'lost';
  return isRetryable ? client.postForJson(attempt, path, body, signal) : first;
}

function mapResult<T, U>(result: BackendResult<T>, map: (value: T) => U): BackendResult<U> {
  return result.ok ? { ok: true, value: map(result.value) } : result;
}
