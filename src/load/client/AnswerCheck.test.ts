import assert from 'node:assert/strict';
import { test } from 'node:test';
import { questionTemplate } from '../deployment/Templates.js';
import { findAnswerError } from './AnswerCheck.js';
import type { CallerAnswer } from './CallerClient.js';
import { expectedOutput } from './ExpectedAnswer.js';
import { SseParser } from './SseParser.js';

const TEMPLATE = questionTemplate('floor-question');
const INPUT = { question: 'which needle' };
const { text: EXPECTED_TEXT } = expectedOutput(TEMPLATE, INPUT) as { text: string };

function answerOf(
  texts: readonly string[],
  output: unknown = { text: EXPECTED_TEXT },
): CallerAnswer {
  const chunks = texts.map((text, offset) => ({ offset, text, atMs: offset }));
  const result = { requestId: 'r', output, stages: [] };
  return { kind: 'result', result, chunks, latencyMs: 1 };
}

// Guards against a check that accepts truncated answers or answers to another request.
test('rejects wrong, truncated and duplicated answers and accepts the correct one', () => {
  const [head, tail] = [EXPECTED_TEXT.slice(0, 9), EXPECTED_TEXT.slice(9)];
  const check = (answer: CallerAnswer) => findAnswerError(TEMPLATE, INPUT, answer);
  assert.equal(check(answerOf([head, tail])), undefined);
  assert.equal(check(answerOf([])), undefined);
  assert.match(check(answerOf([], { text: 'other' }))!, /differs from the expected answer/);
  assert.match(check(answerOf([head]))!, /ended after 9 of \d+ characters/);
  assert.match(check(answerOf([head, head, tail]))!, /text of the stream differs/);
  const { chunks, ...rest } = answerOf([head, tail]);
  const gap = chunks.map((chunk) => ({ ...chunk, offset: 2 * chunk.offset }));
  assert.match(check({ ...rest, chunks: gap })!, /chunk 1 of the stream has offset 2, expected 1/);
});

// Guards against events that are lost when the network splits them at any position.
test('parses server-sent events split at any position', () => {
  const stream = 'event: chunk\ndata: {"offset":0}\n\nevent: result\r\ndata: {}\r\n\r\n: ping\n\n';
  for (let cut = 0; cut <= stream.length; cut += 1) {
    const parser = new SseParser();
    const events = [...parser.push(stream.slice(0, cut)), ...parser.push(stream.slice(cut))];
    assert.deepEqual(events, [
      { event: 'chunk', data: '{"offset":0}' },
      { event: 'result', data: '{}' },
    ]);
  }
});
