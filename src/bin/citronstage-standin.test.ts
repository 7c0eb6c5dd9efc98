import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';

const BINARY = fileURLToPath(new URL('./citronstage-standin.js', import.meta.url));
const TABLE_SETTINGS =
  '{ // a comment\n"services": [{"kind":"table","name":"t","address":"127.0.0.1:0"}] }';
let directory: string;

before(async () => {
  directory = await mkdtemp(join(tmpdir(), 'standin-'));
});

after(() => rm(directory, { recursive: true }));

async function writeSettings(text: string): Promise<string> {
  const file = join(directory, 'standin.jsonc');
  await writeFile(file, text);
  return file;
}

async function runToExit(...options: string[]): Promise<{ code: number; errors: string }> {
  const child = spawn(process.execPath, [BINARY, ...options]);
  let errors = '';
  child.stderr.on('data', (part) => {
    errors += String(part);
  });
  const [code] = await once(child, 'close');
  return { code, errors };
}

test('prints the listen addresses when ready and exits with 0 on SIGTERM', async () => {
  const child = spawn(process.execPath, [BINARY, '--config', await writeSettings(TABLE_SETTINGS)]);
  const [line] = await once(child.stdout, 'data');
  const { ready, services } = JSON.parse(String(line));
  assert.equal(ready, true);
  const response = await fetch(`http://${services[0].address}/control/counters`);
  assert.equal(response.status, 200);
  child.kill('SIGTERM');
  assert.deepEqual(await once(child, 'close'), [0, null]);
});

test('exits with 2 on invalid arguments and settings', async () => {
  assert.equal((await runToExit()).code, 2);
  assert.equal(
    (await runToExit('--config', await writeSettings(TABLE_SETTINGS), '--check')).code,
    0,
  );
  const wrong = await writeSettings(TABLE_SETTINGS.replace('table', 'chair'));
  const result = await runToExit('--config', wrong);
  assert.equal(result.code, 2);
  assert.match(result.errors, /standin\.jsonc:2: services\.0\.kind/);
});

test('exits with 1 when a listen address is not available', async () => {
  const twice = TABLE_SETTINGS.replaceAll('127.0.0.1:0', '192.0.2.1:1');
  assert.equal((await runToExit('--config', await writeSettings(twice))).code, 1);
});
