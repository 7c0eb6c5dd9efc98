/** Work of encoders, retrievers and rerankers, by kind. */
import { EmbeddingRequest, RerankRequest, SearchRequest } from '../../common/protocol/Backend.js';
import { countTokens, embeddingOf, rerankDocuments, searchDocuments } from '../BackendOutput.js';
import type { Call } from '../http/Call.js';
import type { Work } from './BackendService.js';

/** Kind of a stage server. */
export type StageServerKind = 'encoder' | 'retriever' | 'reranker';

/** Path and work of each kind of stage server. */
export const STAGE_SERVERS: Readonly<
  Record<StageServerKind, { path: string; createWork: (call: Call) => Work }>
> = {
  encoder: { path: '/v1/embeddings', createWork: encode },
  retriever: { path: '/v1/search', createWork: retrieve },
  reranker: { path: '/v1/rerank', createWork: rerank },
};

function encode(call: Call): Work {
  const { input } = call.parseBody(EmbeddingRequest);
  return {
    operation: 'embeddings',
    promptTokens: countTokens(input),
    createBody: (usage) => ({ data: [{ embedding: embeddingOf(input) }], usage }),
  };
}

function retrieve(call: Call): Work {
  const { vector, limit } = call.parseBody(SearchRequest);
  return {
    operation: 'search',
    promptTokens: 0,
    createBody: (usage) => ({ documents: searchDocuments(vector, limit), usage }),
  };
}

function rerank(call: Call): Work {
  const { query, documents, top_n: limit } = call.parseBody(RerankRequest);
  return {
    operation: 'rerank',
    promptTokens: countTokens([query, ...documents].join(' ')),
    createBody: (usage) => ({ results: rerankDocuments(query, documents, limit), usage }),
  };
}
