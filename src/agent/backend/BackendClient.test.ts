import assert from 'node:assert/strict';
import { test } from 'node:test';
import { classify } from './BackendClient.js';

const LIVE = new AbortController().signal;

function systemError(code: string, syscall: string): Error {
  return Object.assign(new Error(code), { code, syscall });
}

test('a call whose connection was never made is certainly not sent', () => {
  assert.equal(classify(systemError('ECONNREFUSED', 'connect'), LIVE).kind, 'unreachable');
  assert.equal(classify(systemError('EHOSTUNREACH', 'connect'), LIVE).kind, 'unreachable');
});

test('an established connection that ends with EHOSTUNREACH may have carried the call: a second run must not follow', () => {
  assert.equal(classify(systemError('EHOSTUNREACH', 'read'), LIVE).kind, 'lost');
  assert.equal(classify(systemError('ENETUNREACH', 'write'), LIVE).kind, 'lost');
});
