/** Checks whether a caller received the complete and correct answer to its own request. */
import { canonicalJson } from '../../common/Digest.js';
import type { Template } from '../../common/protocol/Configuration.js';
import type { CallerAnswer } from './CallerClient.js';
import { expectedOutput } from './ExpectedAnswer.js';

/**
 * Compares an answer with the expected output of its request.
 * @param template - requested pipeline
 * @param input - input of the request
 * @param answer - received answer
 * @returns description of the first mismatch; undefined for a correct result and for errors without a
 *   wrong stream
 */
export function findAnswerError(
  template: Template,
  input: Record<string, unknown>,
  answer: CallerAnswer,
): string | undefined {
  const expected = expectedOutput(template, input);
  const streamError = findStreamError(expected, answer);
  if (streamError) return streamError;
  if (answer.kind !== 'result') return undefined;
  const isExpected = canonicalJson(answer.result.output) === canonicalJson(expected);
  return isExpected ? undefined : 'the output differs from the expected answer to this request';
}

/**
 * Chunks must form a prefix of the expected text without gap or duplicate, and together with a result
 * the complete text.
 */
function findStreamError(expected: unknown, answer: CallerAnswer): string | undefined {
  if (answer.chunks.length === 0) return undefined;
  const gap = answer.chunks.findIndex((chunk, position) => chunk.offset !== position);
  if (gap >= 0)
    return `chunk ${gap} of the stream has offset ${answer.chunks[gap]!.offset}, expected ${gap}`;
  const text = answer.chunks.map((chunk) => chunk.text).join('');
  const expectedText = (expected as { text?: unknown }).text;
  if (typeof expectedText !== 'string' || !expectedText.startsWith(text))
    return 'the text of the stream differs from the expected text';
  const isTruncated = answer.kind === 'result' && text !== expectedText;
  return isTruncated
    ? `the stream ended after ${text.length} of ${expectedText.length} characters`
    : undefined;
}
