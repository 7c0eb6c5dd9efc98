import assert from 'node:assert/strict';
import { test } from 'node:test';
import { classifyError } from './BackendClient.js';

const LIVE = new AbortController().signal;

function systemError(code: string, syscall: string): Error {
  return Object.assign(new Error(code), { code, syscall });
}

test('an error while connecting is classified as unreachable, because nothing was sent', () => {
  assert.equal(classifyError(systemError('ECONNREFUSED', 'connect'), LIVE).kind, 'unreachable');
  assert.equal(classifyError(systemError('EHOSTUNREACH', 'connect'), LIVE).kind, 'unreachable');
});

test('EHOSTUNREACH on an open connection is classified as lost, so the call does not run twice', () => {
  assert.equal(classifyError(systemError('EHOSTUNREACH', 'read'), LIVE).kind, 'lost');
  assert.equal(classifyError(systemError('ENETUNREACH', 'write'), LIVE).kind, 'lost');
});
