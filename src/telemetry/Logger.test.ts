import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLogger, type Logger } from './Logger.js';

/** Runs an action with a logger and returns the parsed lines that it wrote. */
function captureLogLines(action: (logger: Logger) => void): Record<string, unknown>[] {
  const write = process.stderr.write.bind(process.stderr);
  const lines: string[] = [];
  process.stderr.write = (line: string | Uint8Array) => {
    lines.push(String(line));
    return true;
  };
  try {
    action(createLogger('test', 'info'));
  } finally {
    process.stderr.write = write;
  }
  return lines.map((line) => JSON.parse(line) as Record<string, unknown>);
}

test('the message of an error argument is written, so that operators see the reason', () => {
  const [line] = captureLogLines((logger) => logger.error('flush failed', new Error('no route')));
  assert.equal(line?.message, 'flush failed');
  assert.equal(line?.error, 'no route');
});

test('fields that hold secrets are redacted', () => {
  const [line] = captureLogLines((logger) =>
    logger.info('settings', { internalToken: 'x', id: 'entry-1' }),
  );
  assert.equal(line?.internalToken, '[redacted]');
  assert.equal(line?.id, 'entry-1');
});
