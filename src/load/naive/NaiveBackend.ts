/** Calls backend servers for the naive baseline, by stage kind. */
import { Agent, request, type Dispatcher } from 'undici';
import {
  ATTEMPT_ID_HEADER,
  BackendUsage,
  CLIENT_ACCOUNT_HEADER,
  CompletionChunk,
  EmbeddingResponse,
  IDEMPOTENCY_KEY_HEADER,
  REQUEST_ID_HEADER,
  RerankResponse,
  SERVICE_MS_HEADER,
  SearchResponse,
} from '../../common/protocol/Backend.js';
import type { StageKind } from '../../common/protocol/Attempt.js';
import type { Stage } from '../../common/protocol/Configuration.js';
import {
  CallInput,
  EncodeInput,
  GenerateInput,
  RerankInput,
  RetrieveInput,
} from '../../common/protocol/StageData.js';
import type { Usage } from '../../common/protocol/Usage.js';
import { SseParser } from '../client/SseParser.js';
import { completionPrompt } from './CompletionPrompt.js';

const dispatcher = new Agent({ connections: 512, pipelining: 1 });

/** Parameters of one call to a backend server. */
export interface NaiveCall {
  readonly url: string;
  readonly stage: Stage;
  readonly input: unknown;
  readonly requestId: string;
  readonly attemptId: string;
  readonly account: string;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
  readonly onChunk: (offset: number, text: string) => void;
}

/** Output and usage of a stage. */
export interface NaiveOutput {
  readonly output: unknown;
  readonly usage: Usage;
}

/**
 * Calls the backend server and reads its complete response.
 * @param call - server, stage, input and timeout of the call
 * @returns output and usage of the stage
 * @throws Error if the call fails, times out or returns an unexpected response
 */
export function callBackend(call: NaiveCall): Promise<NaiveOutput> {
  return CALLS_BY_KIND[call.stage.kind](call);
}

const CALLS_BY_KIND: Readonly<Record<StageKind, (call: NaiveCall) => Promise<NaiveOutput>>> = {
  encode: async (call) => {
    const { text } = EncodeInput.parse(call.input);
    const response = await post(call, 'v1/embeddings', { model: call.stage.model, input: text });
    const body = EmbeddingResponse.parse(await response.body.json());
    return { output: { vector: body.data[0]!.embedding }, usage: usageOf(body.usage) };
  },
  retrieve: async (call) => {
    const response = await post(call, 'v1/search', RetrieveInput.parse(call.input));
    const body = SearchResponse.parse(await response.body.json());
    return { output: { documents: body.documents }, usage: usageOf(body.usage) };
  },
  rerank: async (call) => {
    const { query, documents, limit } = RerankInput.parse(call.input);
    const texts = documents.map((document) => document.text);
    const payload = { model: call.stage.model, query, documents: texts, top_n: limit };
    const response = await post(call, 'v1/rerank', payload);
    const body = RerankResponse.parse(await response.body.json());
    const ranked = body.results.slice(0, limit).map((result) => documents[result.index]);
    return { output: { documents: ranked }, usage: usageOf(body.usage) };
  },
  generate: (call) => generate(call),
  call: async (call) => {
    const { body } = CallInput.parse(call.input);
    const response = await post(call, call.stage.operation!, body);
    const serviceMs = Number(response.headers[SERVICE_MS_HEADER] ?? 0);
    const usage = { acceleratorMs: serviceMs, tokensIn: 0, tokensOut: 0, calls: 1 };
    return { output: { body: await response.body.json() }, usage };
  },
};

async function generate(call: NaiveCall): Promise<NaiveOutput> {
  const input = GenerateInput.parse(call.input);
  const response = await post(call, 'v1/completions', {
    model: call.stage.model,
    prompt: completionPrompt(input),
    max_tokens: input.maxTokens,
    stream: true,
    request_id: call.attemptId,
    resume_from: 0,
  });
  const parser = new SseParser();
  const decoder = new TextDecoder();
  let text = '';
  let usage = usageOf(undefined);
  for await (const bytes of response.body) {
    for (const event of parser.push(decoder.decode(bytes as Uint8Array, { stream: true }))) {
      if (event.data === '[DONE]') return { output: { text }, usage };
      const chunk = CompletionChunk.parse(JSON.parse(event.data));
      const part = chunk.choices.map((choice) => choice.text).join('');
      if (part !== '') call.onChunk(chunk.offset, part);
      text += part;
      if (chunk.usage) usage = usageOf(chunk.usage);
    }
  }
  throw new Error('the completion stream ended early');
}

async function post(
  call: NaiveCall,
  path: string,
  body: unknown,
): Promise<Dispatcher.ResponseData> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [REQUEST_ID_HEADER]: call.requestId,
    [ATTEMPT_ID_HEADER]: call.attemptId,
    [CLIENT_ACCOUNT_HEADER]: call.account,
  };
  if (call.idempotencyKey !== undefined) headers[IDEMPOTENCY_KEY_HEADER] = call.idempotencyKey;
  const response = await request(`${call.url}/${path}`, {
    method: 'POST',
    headers,
    body: JSON.stringify(body),
    dispatcher,
    signal: AbortSignal.timeout(call.timeoutMs),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  if (response.statusCode >= 300) {
    await response.body.dump();
    throw new Error(`the backend server answered with status ${response.statusCode}`);
  }
  return response;
}

function usageOf(usage: BackendUsage | undefined): Usage {
  return {
    acceleratorMs: usage?.accelerator_ms ?? 0,
    tokensIn: usage?.prompt_tokens ?? 0,
    tokensOut: usage?.completion_tokens ?? 0,
    calls: 1,
  };
}
