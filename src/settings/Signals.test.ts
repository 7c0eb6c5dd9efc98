import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';

const MODULE = new URL('./Signals.js', import.meta.url).href;

/** Starts a process that loads the module, runs code and stays busy while signals arrive. */
async function signalDuring(code: string, signals: NodeJS.Signals[]) {
  const program = `const { handleSignals } = await import('${MODULE}');
    process.stdout.write('loaded');
    const until = Date.now() + 300;
    while (Date.now() < until);
    ${code}
    setTimeout(() => {}, 3000);`;
  const child = spawn(process.execPath, ['--input-type=module', '-e', program], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  await once(child.stdout, 'data');
  signals.forEach((signal) => child.kill(signal));
  return (await once(child, 'exit')) as [number | null, string | null];
}

test('a process that is starting survives a reload and ends orderly when it is stopped', async () => {
  // Guards against a reload that ends a process before its own handlers are installed.
  assert.deepEqual(await signalDuring('', ['SIGHUP', 'SIGTERM']), [0, null]);
});

test('a signal that arrives just before handlers are set reaches them', async () => {
  // Guards against a stop that is dropped during the start, so that the process has to be killed.
  const code = 'handleSignals({ stop: () => process.exit(7), reload: () => undefined });';
  assert.deepEqual(await signalDuring(code, ['SIGTERM']), [7, null]);
});
