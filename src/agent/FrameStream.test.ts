import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { AttemptOutput } from '../common/attempts/AttemptOutput.js';
import { createAttempt } from '../common/attempts/testing/AttemptFixture.js';
import type { Load } from '../common/protocol/Attempt.js';
import { FrameReader } from '../entry/FrameReader.js';
import { FrameStream } from './FrameStream.js';

/** Longer than the time for which a frame suppresses heartbeats. */
const SILENT_MS = 130;

const IDLE: Load = { slots: 4, running: 1, waiting: 0, waitMs: 0, draining: false };

/** Opens a frame stream on a fake response; `frames` parses what was written to it. */
function openStream(load: Load, confirmedAgeMs: number | null = 0) {
  const written = { text: '' };
  const response = Object.assign(new EventEmitter(), {
    writeHead: () => undefined,
    write: (text: string) => {
      written.text += text;
      return true;
    },
  });
  const output = new AttemptOutput();
  const stream = new FrameStream(
    response as unknown as ServerResponse,
    createAttempt(),
    output,
    { incarnation: 'i', notice: () => ({ revision: 3, confirmedAgeMs }), load: () => load },
    () => undefined,
  );
  stream.start();
  return { stream, output, frames: () => new FrameReader().read(written.text)! };
}

test('a heartbeat is skipped just after a chunk and written after a silence', async () => {
  const { stream, output, frames } = openStream(IDLE);
  await sleep(SILENT_MS);
  output.append(0, { text: 'a', tokens: 1 });
  await new Promise(setImmediate);
  stream.heartbeat();
  assert.deepEqual(
    frames().map(({ type }) => type),
    ['accepted', 'chunk'],
  );
  await sleep(SILENT_MS);
  stream.heartbeat();
  assert.equal(frames().at(-1)!.type, 'heartbeat');
  assert.equal(frames().length, 3);
  stream.dispose();
});

test('an entry reads the load that the agent sent, with and without fields at their defaults', () => {
  const busy = { slots: 4, running: 4, waiting: 2, waitMs: 7, draining: true };
  for (const load of [IDLE, busy]) {
    const { stream, frames } = openStream(load);
    const frame = frames()[0]!;
    assert.ok(frame.type === 'accepted');
    assert.deepEqual(frame.load, load);
    stream.dispose();
  }
});

test('the age of a confirmation is rounded up, so it never looks more recent', () => {
  for (const [age, sent] of [
    [0.2, 1],
    [12, 12],
    [null, null],
  ] as const) {
    const { stream, frames } = openStream(IDLE, age);
    const frame = frames()[0]!;
    assert.ok(frame.type === 'accepted');
    assert.equal(frame.notice.confirmedAgeMs, sent);
    stream.dispose();
  }
});
