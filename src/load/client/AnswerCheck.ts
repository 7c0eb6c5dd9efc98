/** Judges whether a caller got the whole right answer to its own request. */
import { canonicalJson } from '../../common/Digest.js';
import type { Template } from '../../common/protocol/Configuration.js';
import type { CallerAnswer } from './CallerClient.js';
import { expectedOutput } from './ExpectedAnswer.js';

/**
 * @param template - pipeline that was asked for
 * @param input - input of the request
 * @param answer - what came back
 * @returns what is wrong with the answer; undefined for a right result and for errors
 */
export function findWrongAnswer(
  template: Template,
  input: Record<string, unknown>,
  answer: CallerAnswer,
): string | undefined {
  const expected = expectedOutput(template, input);
  const streamFault = findStreamFault(expected, answer);
  if (streamFault) return streamFault;
  if (answer.kind !== 'result') return undefined;
  const right = canonicalJson(answer.result.output) === canonicalJson(expected);
  return right ? undefined : 'the output is not the right answer to this request';
}

/** Chunks must be a prefix of the expected text without gap or repeat, and the whole of it at the end. */
function findStreamFault(expected: unknown, answer: CallerAnswer): string | undefined {
  if (answer.chunks.length === 0) return undefined;
  const gap = answer.chunks.findIndex((chunk, position) => chunk.offset !== position);
  if (gap >= 0) return `chunk ${gap} of the stream has offset ${answer.chunks[gap]!.offset}`;
  const text = answer.chunks.map((chunk) => chunk.text).join('');
  const whole = (expected as { text?: unknown }).text;
  if (typeof whole !== 'string' || !whole.startsWith(text)) return 'the stream has a wrong text';
  const short = answer.kind === 'result' && text !== whole;
  return short ? 'the stream ended before the whole text' : undefined;
}
