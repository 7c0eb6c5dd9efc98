import assert from 'node:assert/strict';
import { readFile, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { after, before, test } from 'node:test';
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { Cluster } from '../launch/Cluster.js';
import { SESSIONS } from './Sessions.js';

// Guards against any change of what callers and operators see that nobody meant to make. To accept a
// change, run this test with UPDATE_GOLDEN=1 and read the difference.

let cluster: Cluster;

before(async () => {
  cluster = await Cluster.start({ deployment: DEPLOYMENTS.small!(), variant: 'current' });
});

after(() => cluster.dispose());

function goldenFile(name: string): string {
  return fileURLToPath(new URL(`../../../../src/load/golden/${name}.golden.txt`, import.meta.url));
}

Object.entries(SESSIONS).forEach(([name, session]) => {
  test(`the session ${name} is the same as in its golden file`, async () => {
    const text = (await session(cluster)).text();
    if (process.env.UPDATE_GOLDEN) await writeFile(goldenFile(name), text);
    assert.equal(text, await readFile(goldenFile(name), 'utf8'));
  });
});
