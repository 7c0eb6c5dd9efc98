import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readBoundedBytes } from './BoundedBody.js';
import { ByteCollector } from './ByteCollector.js';

describe('ByteCollector', () => {
  it('holds single bytes in about their size', () => {
    // Guards against an object for each part of a body.
    const collector = new ByteCollector();
    for (let index = 0; index < 1_000_000; index += 1) collector.append(Buffer.from([index % 256]));
    assert.equal(collector.length, 1_000_000);
    assert.ok(collector.capacity <= 2_000_000);
    assert.equal(collector.bytes[999], 999 % 256);
    collector.release();
    assert.equal(collector.capacity, 0);
  });
});

describe('readBoundedBytes', () => {
  async function* parts(count: number, size: number): AsyncGenerator<Uint8Array> {
    for (let index = 0; index < count; index += 1) yield Buffer.alloc(size, 'x');
  }

  it('refuses bodies in tiny parts and reads those of usual or few parts', async () => {
    await assert.rejects(readBoundedBytes(parts(100_000, 1), 1_000_000), /parts/);
    assert.equal((await readBoundedBytes(parts(1000, 1), 1_000_000)).length, 1000);
    assert.equal((await readBoundedBytes(parts(10_000, 100), 1_000_000)).length, 1_000_000);
  });
});
