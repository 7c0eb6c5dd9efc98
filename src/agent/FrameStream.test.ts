import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { AttemptStream } from '../common/gate/AttemptStream.js';
import { createAttempt } from '../common/gate/testing/AttemptFixture.js';
import { FrameStream } from './FrameStream.js';

/** Longer than the time for which a written frame replaces a heartbeat. */
const SILENT_MS = 130;

test('chunks replace heartbeats, and silence after a chunk is broken by the next heartbeat', async () => {
  const frames: Record<string, unknown>[] = [];
  const response = Object.assign(new EventEmitter(), {
    writeHead: () => undefined,
    write: (text: string) => {
      frames.push(
        ...text
          .trim()
          .split('\n')
          .map((line) => JSON.parse(line)),
      );
      return true;
    },
  });
  const output = new AttemptStream();
  const load = { slots: 1, running: 1, waiting: 0, waitMs: 0, draining: false };
  const notice = { revision: 3, confirmedAgeMs: 0 };
  const stream = new FrameStream(
    response as unknown as ServerResponse,
    createAttempt(),
    output,
    { incarnation: 'i', notice: () => notice, load: () => load },
    () => undefined,
  );
  stream.start();
  await sleep(SILENT_MS);
  output.append(0, { text: 'a', tokens: 1 });
  await new Promise(setImmediate);
  stream.heartbeat();
  assert.deepEqual(
    frames.map(({ type }) => type),
    ['accepted', 'chunk'],
  );
  await sleep(SILENT_MS);
  stream.heartbeat();
  assert.equal(frames.length, 3);
  assert.deepEqual(
    [frames[2]!.type, frames[2]!.notice, frames[2]!.load],
    ['heartbeat', notice, load],
  );
  stream.dispose();
});
