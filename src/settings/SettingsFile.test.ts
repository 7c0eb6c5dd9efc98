import assert from 'node:assert/strict';
import { test } from 'node:test';
import { z } from 'zod';
import { formatProblem, parseSettings } from './SettingsFile.js';

const Schema = z.strictObject({
  port: z.number().int(),
  backend: z.strictObject({ slots: z.number().int().positive().default(4) }),
});

test('accepts comments and trailing commas and applies defaults', () => {
  const result = parseSettings('a.jsonc', '{ // port\n "port": 1, "backend": {}, }', Schema);
  assert.deepEqual(result, { ok: true, value: { port: 1, backend: { slots: 4 } } });
});

test('reports file, line and field of an invalid value', () => {
  const result = parseSettings(
    'a.jsonc',
    '{\n "port": 1,\n "backend": {\n  "slots": "x" } }',
    Schema,
  );
  assert.equal(result.ok, false);
  if (result.ok) return;
  assert.equal(result.problems.length, 1);
  assert.match(
    formatProblem(result.problems[0]!),
    /^a\.jsonc:4: backend\.slots: .*expected number/,
  );
});

test('reports the line of a syntax error', () => {
  const result = parseSettings('a.jsonc', '{\n "port": 1\n "backend": {} }', Schema);
  assert.equal(result.ok, false);
  if (!result.ok) assert.equal(result.problems[0]!.line, 3);
});
