import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { EventParser } from './EventParser.js';
import { ResponseBuffer } from './ResponseBuffer.js';
import { ResponseMemory } from './ResponseMemory.js';

const MIB = 1024 * 1024;

function createParser(limitBytes = MIB) {
  const memory = new ResponseMemory(2 * MIB);
  const overflows: string[] = [];
  const events: { bytes: Buffer; id: string | undefined; hasData: boolean }[] = [];
  const buffer = new ResponseBuffer(memory, { name: 'eventBytes', bytes: limitBytes }, (reason) =>
    overflows.push(reason),
  );
  const parser = new EventParser(buffer, (bytes, start, end, id, hasData) =>
    events.push({ bytes: Buffer.from(bytes.subarray(start, end)), id, hasData }),
  );
  return { memory, overflows, events, parser };
}

/** @returns the bytes divided into chunks of the given sizes, which are used in turn */
function divide(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  for (let start = 0, index = 0; start < bytes.length; index += 1) {
    const size = sizes[index % sizes.length]!;
    chunks.push(bytes.subarray(start, start + size));
    start += size;
  }
  return chunks;
}

describe('EventParser', () => {
  it('returns the same events however the stream is divided into chunks', () => {
    const text = fc.string({
      unit: fc.constantFrom('a', '\n', ':', 'id: 1', 'data: x', '\n\n'),
      maxLength: 80,
    });
    const sizes = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 5 });
    fc.assert(
      fc.property(text, sizes, (stream, chunkSizes) => {
        const bytes = Buffer.from(stream);
        const whole = createParser();
        const divided = createParser();
        whole.parser.push(bytes);
        divide(bytes, chunkSizes).forEach((chunk) => divided.parser.push(chunk));
        assert.deepEqual(divided.events, whole.events);
        assert.deepEqual(divided.parser.remainder, whole.parser.remainder);
        const parts = [...divided.events.map((event) => event.bytes), divided.parser.remainder];
        assert.equal(Buffer.concat(parts).toString(), stream);
      }),
      { numRuns: 500, seed: 11 },
    );
  });

  it('tells events with data from comments and empty events', () => {
    const { parser, events } = createParser();
    parser.push(Buffer.from('id: 7\ndata: x\n\n: ping\n\n\n\n'));
    assert.deepEqual(
      events.map(({ id, hasData }) => [id, hasData]),
      [
        ['7', true],
        [undefined, false],
        [undefined, false],
      ],
    );
  });

  it('finds the ends of events and the first field of each line as the format says', () => {
    const { parser, events } = createParser();
    parser.push(Buffer.from('\nid: 1\nid: 2\ndata\n\n data: x\n\nxid: 3\nxdata: y\n\nid:4\ndata:'));
    parser.push(Buffer.from(' z\n'));
    parser.push(Buffer.from('\n\n'));
    assert.deepEqual(
      events.map(({ id, hasData }) => [id, hasData]),
      [
        ['1', false],
        [undefined, false],
        [undefined, false],
        ['4', true],
      ],
    );
    assert.equal(parser.remainder.toString(), '\n');
  });

  it('drops an event over the limit and returns its memory', () => {
    // Guards against a server that sends bytes without the end of an event until memory runs out.
    const { memory, overflows, parser } = createParser(1000);
    for (let index = 0; index < 100; index += 1) parser.push(Buffer.alloc(100, 'x'));
    assert.equal(overflows.length, 1);
    assert.match(overflows[0]!, /eventBytes of 1000 bytes/);
    assert.equal(memory.usedBytes, 0);
  });

  it('parses a long event in time that is linear in its size', () => {
    // Guards against copying the incomplete event for each chunk, which takes quadratic time.
    const { parser, events } = createParser();
    const size = 256 * 1024;
    const startedAt = performance.now();
    for (let index = 0; index < size; index += 1) parser.push(Buffer.from('x'));
    parser.push(Buffer.from('\n\n'));
    assert.equal(events.length, 1);
    assert.ok(performance.now() - startedAt < 3000, 'longer than 3 s for 256 KiB');
  });
});

describe('ResponseMemory', () => {
  it('drops the largest responses first when the total is exceeded', () => {
    // Guards against sound responses that are dropped because faulty servers hold the memory.
    const memory = new ResponseMemory(100);
    const evicted: string[] = [];
    const small = memory.open(() => evicted.push('small'));
    const large = memory.open(() => evicted.push('large'));
    large.resize(90);
    small.resize(20);
    assert.deepEqual(evicted, ['large']);
    assert.equal(memory.usedBytes, 20);
    large.release();
    small.release();
    assert.equal(memory.usedBytes, 0);
  });

  it('never holds more than its limit, whatever the sizes', () => {
    const change = fc.record({
      owner: fc.integer({ min: 0, max: 5 }),
      bytes: fc.integer({ min: 0, max: 80 }),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 60 }), (changes) => {
        const memory = new ResponseMemory(100);
        const owners = Array.from({ length: 6 }, () => memory.open(() => undefined));
        changes.forEach(({ owner, bytes }) => {
          owners[owner]!.resize(bytes);
          assert.ok(memory.usedBytes <= 100);
        });
        owners.forEach((owner) => owner.release());
        assert.equal(memory.usedBytes, 0);
      }),
      { seed: 5 },
    );
  });
});
