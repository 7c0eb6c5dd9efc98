import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { rm } from 'node:fs/promises';
import { connect } from 'node:net';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { Launcher } from './Launcher.js';
import { LOOPBACK, findFreePorts } from './Ports.js';

async function defineStandin(launcher: Launcher, name: string) {
  const [port] = await findFreePorts(1);
  const services = [{ kind: 'object', name, address: `${LOOPBACK}:${port}` }];
  return launcher.define(name, 'citronstage-standin', { services });
}

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

/**
 * Checks the port rather than the process id: the id of an orphan stays in use after its end until
 * the init process reaps it.
 */
function isListening(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, LOOPBACK);
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

// Guards against processes that outlive a proof, in particular frozen ones, which do not react to SIGTERM.
test('dispose ends running, frozen and restarted processes', async () => {
  const launcher = await Launcher.create();
  const frozen = await defineStandin(launcher, 'frozen');
  const restarted = await defineStandin(launcher, 'restarted');
  await Promise.all([frozen.start(), restarted.start()]);
  assert.ok(frozen.signal('SIGSTOP'));
  const first = restarted.pid!;
  await restarted.kill();
  await restarted.start();
  const pids = [first, frozen.pid!, restarted.pid!];
  await launcher.dispose();
  assert.deepEqual(pids.map(isAlive), [false, false, false]);
});

// Guards against orphaned processes when a time limit terminates the load tool itself.
test('SIGTERM to the load tool also ends its child processes', async () => {
  const launcherFile = new URL('./Launcher.js', import.meta.url).href;
  const portsFile = new URL('./Ports.js', import.meta.url).href;
  const script = `
    const { Launcher } = await import('${launcherFile}');
    const { findFreePorts } = await import('${portsFile}');
    const launcher = await Launcher.create();
    const [port] = await findFreePorts(1);
    const services = [{ kind: 'object', name: 'o', address: '${LOOPBACK}:' + port }];
    const child = await launcher.define('o', 'citronstage-standin', { services });
    await child.start();
    console.log(JSON.stringify({ port, folder: launcher.folder }));`;
  const parent = spawn(process.execPath, ['--input-type=module', '-e', script], {
    cwd: fileURLToPath(new URL('.', import.meta.url)),
  });
  const [line] = (await once(createInterface({ input: parent.stdout }), 'line')) as [string];
  const { port, folder } = JSON.parse(line) as { port: number; folder: string };
  assert.equal(await isListening(port), true);
  parent.kill('SIGTERM');
  await once(parent, 'exit');
  for (let turn = 0; turn < 50 && (await isListening(port)); turn += 1) await sleep(20);
  await rm(folder, { recursive: true, force: true });
  assert.equal(await isListening(port), false);
});
