import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';

const BINARY = fileURLToPath(new URL('./citronstage-standin.js', import.meta.url));
const TABLE = '{ // a comment\n"services": [{"kind":"table","name":"t","address":"127.0.0.1:0"}] }';
let directory: string;

before(async () => {
  directory = await mkdtemp(join(tmpdir(), 'standin-'));
});

after(() => rm(directory, { recursive: true }));

async function settingsFile(text: string): Promise<string> {
  const file = join(directory, 'standin.jsonc');
  await writeFile(file, text);
  return file;
}

async function exitCode(...options: string[]): Promise<{ code: number; errors: string }> {
  const child = spawn(process.execPath, [BINARY, ...options]);
  let errors = '';
  child.stderr.on('data', (part) => {
    errors += String(part);
  });
  const [code] = await once(child, 'close');
  return { code, errors };
}

test('prints the addresses when it listens and stops on SIGTERM with exit code 0', async () => {
  const child = spawn(process.execPath, [BINARY, '--config', await settingsFile(TABLE)]);
  const [line] = await once(child.stdout, 'data');
  const { ready, services } = JSON.parse(String(line));
  assert.equal(ready, true);
  const response = await fetch(`http://${services[0].address}/control/counters`);
  assert.equal(response.status, 200);
  child.kill('SIGTERM');
  assert.deepEqual(await once(child, 'close'), [0, null]);
});

test('wrong arguments and settings give exit code 2 and start nothing', async () => {
  assert.equal((await exitCode()).code, 2);
  assert.equal((await exitCode('--config', await settingsFile(TABLE), '--check')).code, 0);
  const wrong = await settingsFile(TABLE.replace('table', 'chair'));
  const result = await exitCode('--config', wrong);
  assert.equal(result.code, 2);
  assert.match(result.errors, /standin\.jsonc:2: services\.0\.kind/);
});

test('an address that can not be used gives exit code 1', async () => {
  const twice = TABLE.replaceAll('127.0.0.1:0', '192.0.2.1:1');
  assert.equal((await exitCode('--config', await settingsFile(twice))).code, 1);
});
