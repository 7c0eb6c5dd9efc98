import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readBoundedText } from '../../common/BoundedBody.js';
import { readEventData } from './ServerSentEvents.js';

/** Yields the same bytes until the reader stops, and counts the yielded chunks. */
function endlessBody(text: string) {
  const state = { chunks: 0 };
  async function* generate(): AsyncGenerator<Uint8Array> {
    for (;;) {
      state.chunks += 1;
      yield Buffer.from(text);
    }
  }
  return { state, body: generate() };
}

async function* bodyOf(...parts: readonly string[]): AsyncGenerator<Uint8Array> {
  for (const part of parts) yield Buffer.from(part);
}

test('a body without an end is not read beyond the limit', async () => {
  // Guards against a server that takes the memory of the agent.
  const { state, body } = endlessBody('x'.repeat(1000));
  await assert.rejects(readBoundedText(body, 10_000), /exceeds 10000 bytes/);
  assert.equal(state.chunks, 11);
});

test('a line of a stream without an end is not read beyond the limit', async () => {
  const { state, body } = endlessBody('x'.repeat(64 * 1024));
  await assert.rejects(async () => {
    for await (const data of readEventData(body)) assert.fail(data);
  }, /exceeds/);
  assert.ok(state.chunks <= 17, `${state.chunks} chunks of 64 KiB`);
});

test('events are read however their bytes are divided', async () => {
  const events: string[] = [];
  const parts = ['da', 'ta: 1\r', '\n\r\ndata: 2\n\nda', 'ta: 3\n'];
  for await (const data of readEventData(bodyOf(...parts))) events.push(data);
  assert.deepEqual(events, ['1', '2', '3']);
});
