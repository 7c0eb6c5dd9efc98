import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';

const MODULE = new URL('./Signals.js', import.meta.url).href;

/**
 * Starts a process that loads the module, blocks its event loop while the signals arrive and then
 * runs the code.
 */
async function runAndSignal(code: string, signals: NodeJS.Signals[]) {
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

test('a starting process survives SIGHUP and exits with code 0 on SIGTERM', async () => {
  // Guards against a reload that ends a process before its handlers are set.
  assert.deepEqual(await runAndSignal('', ['SIGHUP', 'SIGTERM']), [0, null]);
});

test('a signal that arrives just before the handlers are set is delivered to them', async () => {
  // Guards against a SIGTERM that is lost during the start, so that the process has to be killed.
  const code = 'handleSignals({ stop: () => process.exit(7), reload: () => undefined });';
  assert.deepEqual(await runAndSignal(code, ['SIGTERM']), [7, null]);
});
