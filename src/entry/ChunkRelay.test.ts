import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChunkRelay } from './ChunkRelay.js';

test('relays regenerated chunks once, and again from the first that differs', () => {
  const relayed: [number, string][] = [];
  const relay = new ChunkRelay((offset, text) => relayed.push([offset, text]));
  ['a', 'b'].forEach((text, offset) => relay.relay(offset, text));
  ['a', 'b', 'c'].forEach((text, offset) => relay.relay(offset, text));
  ['a', 'x', 'c'].forEach((text, offset) => relay.relay(offset, text));
  assert.deepEqual(relayed, [
    [0, 'a'],
    [1, 'b'],
    [2, 'c'],
    [1, 'x'],
    [2, 'c'],
  ]);
});
