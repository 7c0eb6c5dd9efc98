import assert from 'node:assert/strict';
import { readFile, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { after, before, test } from 'node:test';
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { Cluster } from '../launch/Cluster.js';
import { SESSIONS } from './Sessions.js';

// Guards against unintended changes to the responses that callers and operators receive. To accept a
// change, run this test with UPDATE_GOLDEN=1 and review the diff of the golden files.

let cluster: Cluster;

before(async () => {
  cluster = await Cluster.start({ deployment: DEPLOYMENTS.small!(), variant: 'current' });
});

after(() => cluster.dispose());

function goldenFile(name: string): string {
  return fileURLToPath(new URL(`../../../../src/load/golden/${name}.golden.txt`, import.meta.url));
}

Object.entries(SESSIONS).forEach(([name, session]) => {
  test(`the transcript of the session ${name} equals its golden file`, async () => {
    const text = (await session(cluster)).text();
    if (process.env.UPDATE_GOLDEN) await writeFile(goldenFile(name), text);
    assert.equal(text, await readFile(goldenFile(name), 'utf8'));
  });
});
