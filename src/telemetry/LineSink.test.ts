import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { promisify } from 'node:util';

const MODULE = new URL('./LineSink.js', import.meta.url).href;

test('drain writes all lines before the process exits', async () => {
  // Guards against a log that lacks the last requests and the end of a process.
  const program = `const { LineSink } = await import('${MODULE}');
    const sink = new LineSink();
    for (let line = 1; line <= 100; line += 1) sink.write('line ' + line);
    await sink.drain(1000);
    process.exit(0);`;
  const { stdout } = await promisify(execFile)(process.execPath, [
    '--input-type=module',
    '-e',
    program,
  ]);
  assert.equal(stdout.trim().split('\n').length, 100);
});
