/**
 * Output of the backend stand-ins. The functions are pure, so that tests can compute the expected
 * output of a request.
 */
import murmurhash from 'murmurhash';
import { canonicalJson, sha256 } from '../common/Digest.js';
import type { Document } from '../common/protocol/StageData.js';
import { SeededRandom } from '../common/time/SeededRandom.js';

const CHARACTERS_PER_TOKEN = 4;
const VECTOR_LENGTH = 8;
const CORPUS_DOCUMENTS = 10_000;
const DOCUMENT_WORDS = 40;
const UINT32_RANGE = 2 ** 32;
const VOCABULARY = (
  'stage pattern hall order stitch deposit band council listing yarn loom permit concert chart ' +
  'needle tempo weave score ticket thread march route archive member dispatch claim quarter ' +
  'public section tension gauge licence square notice programme machine repeat booking colour row'
).split(' ');

/**
 * Counts the tokens of a text as the stand-ins do.
 * @param text - any text
 * @returns number of tokens, at least 1
 */
export function countTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

/**
 * Generates the tokens of a completion. The first token contains a hash of model and prompt.
 * @param request - model, prompt and number of tokens
 * @returns texts of `max_tokens` tokens; their concatenation is the completion
 */
export function completionTokens(request: {
  model: string;
  prompt: string;
  max_tokens: number;
}): string[] {
  const seed = murmurhash.v3(`${request.model}\n${request.prompt}`);
  const words = drawWords(seed, request.max_tokens - 1);
  return [`#${seed.toString(16).padStart(8, '0')}`, ...words.map((word) => ` ${word}`)];
}

/**
 * Computes the embedding of a text.
 * @param text - text to encode
 * @returns vector of numbers from -1 to 1
 */
export function embeddingOf(text: string): number[] {
  const random = new SeededRandom(murmurhash.v3(text));
  return Array.from({ length: VECTOR_LENGTH }, () => Math.round(random.next() * 2e6 - 1e6) / 1e6);
}

/**
 * Searches the synthetic corpus.
 * @param vector - query vector
 * @param limit - number of documents
 * @returns documents of the corpus, best first
 */
export function searchDocuments(vector: readonly number[], limit: number): Document[] {
  const random = new SeededRandom(murmurhash.v3(JSON.stringify(vector)));
  return Array.from({ length: limit }, () =>
    documentAt(Math.floor(random.next() * CORPUS_DOCUMENTS)),
  );
}

/**
 * Ranks documents by a hash of query and document.
 * @param query - query text
 * @param documents - texts to rank
 * @param limit - number of results
 * @returns index and score of the best documents, best first
 */
export function rerankDocuments(
  query: string,
  documents: readonly string[],
  limit: number,
): { index: number; relevance_score: number }[] {
  return documents
    .map((document, index) => ({
      index,
      relevance_score: murmurhash.v3(`${query}\n${document}`) / UINT32_RANGE,
    }))
    .sort((left, right) => right.relevance_score - left.relevance_score || left.index - right.index)
    .slice(0, limit);
}

/**
 * Computes the output of a plain service.
 * @param operation - path of the operation
 * @param body - JSON body of the call
 * @returns output with a digest of the call, which reveals an output delivered to the wrong caller
 */
export function plainOutput(
  operation: string,
  body: unknown,
): { operation: string; digest: string } {
  return { operation, digest: sha256(canonicalJson({ operation, body: body ?? null })) };
}

function documentAt(number: number): Document {
  const id = `document-${number}`;
  return { id, text: drawWords(murmurhash.v3(id), DOCUMENT_WORDS).join(' ') };
}

function drawWords(seed: number, length: number): string[] {
  const random = new SeededRandom(seed);
  return Array.from(
    { length },
    () => VOCABULARY[Math.floor(random.next() * VOCABULARY.length)] ?? '',
  );
}
