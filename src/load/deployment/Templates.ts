/** Pipeline templates that deployments and proofs use, as functions so that no run shares them. */
import { Template } from '../../common/protocol/Configuration.js';

/** Model served by all engine stand-ins. */
export const MODEL = 'drafter';

/** Chunks generated for a stitch plan, a programme or a summary. */
export const PLAN_TOKENS = 24;

/** Chunks generated for a floor question. */
export const ANSWER_TOKENS = 48;

/** Stage that encodes the request's question. */
export const encode = {
  name: 'encode',
  kind: 'encode',
  pool: 'encoders',
  model: 'embedder',
  input: { text: '$request.question' },
};
/** Stage that reranks the retrieved documents. */
export const rerank = {
  name: 'rerank',
  kind: 'rerank',
  pool: 'rerankers',
  model: 'ranker',
  input: { query: '$request.question', documents: '$retrieve.documents', limit: 3 },
};

/**
 * @param pool - pool of retrievers
 * @returns stage that retrieves documents for the encoded question
 */
export function retrieve(pool: string): unknown {
  return {
    name: 'retrieve',
    kind: 'retrieve',
    pool,
    input: { vector: '$encode.vector', limit: 8 },
  };
}

function generate(maxTokens: number, documents?: string): unknown {
  return {
    name: 'generate',
    kind: 'generate',
    pool: 'engines',
    model: MODEL,
    input: { prompt: '$request.question', ...(documents ? { documents } : {}), maxTokens },
  };
}

function call(pool: string, operation: string, idempotent: boolean): unknown {
  return {
    name: operation,
    kind: 'call',
    pool,
    operation,
    idempotent,
    input: { body: '$request.details' },
  };
}

/**
 * @param name - template name, such as `stitch-plan`
 * @param archive - pool of retrievers
 * @returns encode, retrieve, rerank and generate: most of the time is retrieval
 */
export function planTemplate(name: string, archive: string): Template {
  const stages = [encode, retrieve(archive), rerank, generate(PLAN_TOKENS, '$rerank.documents')];
  return Template.parse({ name, stages });
}

/**
 * @param name - template name
 * @param pool - pool of the registry that is read first
 * @param operation - operation of that pool
 * @returns five stages: a registry call, then the stages of a plan
 */
export function programmeTemplate(name: string, pool: string, operation: string): Template {
  const stages = [
    call(pool, operation, true),
    encode,
    retrieve('retrievers'),
    rerank,
    generate(PLAN_TOKENS, '$rerank.documents'),
  ];
  return Template.parse({ name, stages });
}

/**
 * @param name - template name
 * @returns one generate stage
 */
export function questionTemplate(name: string): Template {
  return Template.parse({ name, stages: [generate(ANSWER_TOKENS)] });
}

/**
 * @param name - template name
 * @param pool - pool of plain services
 * @param operation - operation called
 * @param idempotent - false for deposits and job claims
 * @returns one call stage
 */
export function callTemplate(
  name: string,
  pool: string,
  operation: string,
  idempotent: boolean,
): Template {
  return Template.parse({ name, stages: [call(pool, operation, idempotent)] });
}
