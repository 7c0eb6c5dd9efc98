/** Chooses the routing key of a stage. */
import type { RouteRequest } from '../common/routing/Types.js';
import type { StageTask } from './Types.js';

/** Characters of the prompt that select the engine; a block of a typical prefix cache is about as long. */
const AFFINITY_PREFIX_LENGTH = 256;

/**
 * Requests with a key go to the key's first candidate, so that a caller's retry joins them there;
 * prompts with the same start go to one engine, which has that start in its cache.
 * @param task - stage to place
 * @returns key of the candidate set and how firmly its first candidate is kept
 */
export function placementOf({
  context,
  stage,
  input,
}: StageTask): Pick<RouteRequest, 'key' | 'placement'> {
  if (context.idempotencyKey !== undefined) {
    return { key: `${context.account.id}/${context.idempotencyKey}`, placement: 'sticky' };
  }
  if (stage.kind === 'generate' && typeof input.prompt === 'string') {
    const prefix = input.prompt.slice(0, AFFINITY_PREFIX_LENGTH);
    return { key: `${stage.model ?? ''}/${prefix}`, placement: 'affinity' };
  }
  return { key: context.requestId, placement: 'spread' };
}
