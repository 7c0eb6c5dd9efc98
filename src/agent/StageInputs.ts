/** Checks attempts before they are queued, so that a run never fails on an input of a wrong shape. */
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
 * @param attempt - attempt as received
 * @returns what is wrong with it, or null
 */
export function findInputProblem(attempt: Attempt): string | null {
  if (attempt.kind === 'call' && !attempt.operation) return 'operation: required for a call';
  if (!attempt.idempotent && attempt.kind !== 'call') return 'only calls may be non-idempotent';
  const parsed = INPUT_SCHEMAS[attempt.kind].safeParse(attempt.input);
  if (parsed.success) return null;
  const issue = parsed.error.issues[0]!;
  return `input.${issue.path.join('.')}: ${issue.message}`;
}
