/** Validates attempts before they are queued, so that no run fails on a malformed input. */
import type { z } from 'zod';
import type { Attempt, StageKind } from '../common/protocol/Attempt.js';
import {
  CallInput,
  EncodeInput,
  GenerateInput,
  RerankInput,
  RetrieveInput,
} from '../common/protocol/StageData.js';

const INPUT_SCHEMAS: Readonly<Record<StageKind, z.ZodType>> = {
  encode: EncodeInput,
  retrieve: RetrieveInput,
  rerank: RerankInput,
  generate: GenerateInput,
  call: CallInput,
};

/**
 * Validates the input of an attempt against the schema of its stage kind.
 * @param attempt - attempt as received
 * @returns description of the first problem, or null if the attempt is valid
 */
export function findInputProblem(attempt: Attempt): string | null {
  if (attempt.kind === 'call' && !attempt.operation) return 'operation: required for a call';
  if (!attempt.idempotent && attempt.kind !== 'call') return 'only calls may be non-idempotent';
  const parsed = INPUT_SCHEMAS[attempt.kind].safeParse(attempt.input);
  if (parsed.success) return null;
  const issue = parsed.error.issues[0]!;
  return `input.${issue.path.join('.')}: ${issue.message}`;
}
