import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';

const PROGRAM = new URL('./citronstage-agent.js', import.meta.url).pathname;

let directory: string;

before(async () => {
  directory = await mkdtemp(join(tmpdir(), 'citronstage-agent-'));
});

after(() => rm(directory, { recursive: true }));

function run(args: string[]): Promise<{ exitCode: unknown; output: string }> {
  return new Promise((resolve) => {
    execFile(process.execPath, [PROGRAM, ...args], (error, stdout, stderr) => {
      resolve({ exitCode: error?.code ?? 0, output: stdout + stderr });
    });
  });
}

async function writeSettings(name: string, address: string, slots: unknown): Promise<string> {
  const url = 'http://127.0.0.1:9';
  const settings = {
    id: 'agent',
    address,
    failureDomain: 'a',
    platform: { tableUrl: url, objectUrl: url, membershipUrl: url },
    internalToken: 'test-internal-token',
    backend: { id: 'server', url, pool: 'pool', slots },
  };
  const file = join(directory, name);
  await writeFile(file, JSON.stringify(settings, null, 1));
  return file;
}

test('exits with 2 on invalid arguments and settings and reports file, line and field', async () => {
  const [good, bad] = await Promise.all([
    writeSettings('good.json', '127.0.0.1:0', 4),
    writeSettings('bad.json', '127.0.0.1:0', 'four'),
  ]);
  const [checked, wrong, missing] = await Promise.all([
    run(['--config', good, '--check']),
    run(['--config', bad]),
    run(['--bogus']),
  ]);
  assert.deepEqual(checked, { exitCode: 0, output: '' });
  assert.equal(wrong.exitCode, 2);
  assert.match(wrong.output, /bad\.json:15: backend\.slots: .*expected number/);
  assert.equal(missing.exitCode, 2);
});

test('exits with 1 when the listen address is in use', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const file = await writeSettings('busy.json', `127.0.0.1:${port}`, 4);
  const { exitCode, output } = await run(['--config', file]);
  server.close();
  assert.equal(exitCode, 1);
  assert.match(output, /EADDRINUSE/);
});
