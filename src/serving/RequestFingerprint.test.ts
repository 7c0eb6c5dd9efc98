import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fingerprintOf, type RequestContent } from './RequestFingerprint.js';

/** @returns content of a request */
function createContent(overrides: Partial<RequestContent> = {}): RequestContent {
  return {
    account: { name: 'account-1', apiKeys: [] },
    attributes: { attemptId: 'a', promptParts: [], pieceCounts: [] },
    body: Buffer.from('body'),
    headers: ['Host', 'shop.example', 'Deadline', '100'],
    method: 'POST',
    target: '/read/1',
    ...overrides,
  };
}

const promptOf = (...ids: string[]) => ({
  promptParts: ids.map((id) => ({ id, tokens: 1 })),
  pieceCounts: [],
});

test('a repeated request has the fingerprint of the first one', () => {
  const repeated = createContent({
    attributes: { attemptId: 'b', promptParts: [], pieceCounts: [], lastEventId: '3' },
    headers: ['Deadline', '50', 'host', 'Shop.example'],
  });
  assert.equal(fingerprintOf(repeated), fingerprintOf(createContent()));
});

test('requests that differ in what they ask for have different fingerprints', () => {
  const contents = [
    createContent(),
    createContent({ account: { name: 'account-2', apiKeys: [] } }),
    createContent({ body: Buffer.from('other') }),
    createContent({ body: Buffer.alloc(0) }),
    createContent({ headers: ['Host', 'other.example'] }),
    createContent({ method: 'PUT' }),
    createContent({ target: '/read/2' }),
    createContent({ attributes: promptOf('shared', 'own') }),
    createContent({ attributes: promptOf('shared', 'other') }),
  ];
  assert.equal(new Set(contents.map(fingerprintOf)).size, contents.length);
});
