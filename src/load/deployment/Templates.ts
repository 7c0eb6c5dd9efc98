/** Pipeline templates of deployments and proofs; functions, so that runs share no objects. */
import { Template } from '../../common/protocol/Configuration.js';

/** Model served by all engine stand-ins. */
export const MODEL = 'drafter';

/** Token limit of the generate stage of a stitch plan, a programme or a summary. */
export const PLAN_TOKENS = 24;

/** Token limit of the generate stage of a floor question. */
export const ANSWER_TOKENS = 48;

/** Stage that encodes the question of the request. */
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
 * Creates a retrieve stage.
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
 * Creates a retrieval-augmented template whose time is spent mostly on retrieval.
 * @param name - template name, such as `stitch-plan`
 * @param archive - pool of retrievers
 * @returns template with the stages encode, retrieve, rerank and generate
 */
export function planTemplate(name: string, archive: string): Template {
  const stages = [encode, retrieve(archive), rerank, generate(PLAN_TOKENS, '$rerank.documents')];
  return Template.parse({ name, stages });
}

/**
 * Creates a template that reads a registry before the stages of a plan.
 * @param name - template name
 * @param pool - pool of the registry
 * @param operation - operation of the registry
 * @returns template with a call stage, then encode, retrieve, rerank and generate
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
 * Creates a template for a question without retrieval.
 * @param name - template name
 * @returns template with one generate stage
 */
export function questionTemplate(name: string): Template {
  return Template.parse({ name, stages: [generate(ANSWER_TOKENS)] });
}

/**
 * Creates a template for a call of a plain service.
 * @param name - template name
 * @param pool - pool of plain services
 * @param operation - called operation
 * @param idempotent - whether the call may be run more than once; false for deposits and job claims
 * @returns template with one call stage
 */
export function callTemplate(
  name: string,
  pool: string,
  operation: string,
  idempotent: boolean,
): Template {
  return Template.parse({ name, stages: [call(pool, operation, idempotent)] });
}
