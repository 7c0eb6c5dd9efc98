import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { parseJson } from './BoundedJson.js';

const BOUNDS = { maxValues: 10_000 };

describe('parseJson', () => {
  it('returns what JSON.parse returns within the bounds', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        const text = JSON.stringify(value);
        assert.deepEqual(parseJson(text, BOUNDS), JSON.parse(text));
      }),
      { seed: 1 },
    );
  });

  it('refuses what JSON.parse refuses', () => {
    ['', '{', '"', '"\\"', '[1,]', 'nul', '\\"{"'].forEach((text) =>
      assert.throws(() => parseJson(text, BOUNDS), SyntaxError),
    );
  });

  it('refuses too many values and too deep nesting without parsing them', () => {
    // Guards against brackets that each become an object of many times their size.
    const size = 4 * 1024 * 1024;
    const texts = ['['.repeat(size), '{"a":'.repeat(size / 5), `[${'[],'.repeat(size / 3)}[]]`];
    const startedAt = performance.now();
    texts.forEach((text) => assert.throws(() => parseJson(text, BOUNDS), SyntaxError));
    assert.ok(performance.now() - startedAt < 1000);
    assert.throws(() => parseJson('[[[1]]]', { maxValues: 10, maxDepth: 2 }), /deeper than 2/);
    assert.throws(() => parseJson('[1,2,3]', { maxValues: 3 }), /more than 3 values/);
    assert.deepEqual(parseJson('[1,2,3]', { maxValues: 4 }), [1, 2, 3]);
  });

  it('does not count brackets and commas of strings', () => {
    const text = JSON.stringify({ a: '[{,"\\'.repeat(100), 'b\\"': '\\\\' });
    assert.deepEqual(parseJson(text, { maxValues: 3 }), JSON.parse(text));
  });

  it('takes time that is linear in the length of the text', () => {
    // Guards against strings of escaped quotes that are searched again for each quote.
    const startedAt = performance.now();
    const text = JSON.stringify('\\"'.repeat(500_000));
    assert.equal((parseJson(text, BOUNDS) as string).length, 1_000_000);
    assert.throws(() => parseJson(`"${'\\'.repeat(1_000_000)}`, BOUNDS), SyntaxError);
    assert.ok(performance.now() - startedAt < 1000);
  });
});
