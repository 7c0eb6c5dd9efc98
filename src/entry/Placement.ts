/** Derives the routing key of a stage. */
import type { RouteRequest } from '../common/routing/Types.js';
import type { StageTask } from './Types.js';

/** Characters of the prompt in the routing key; about one block of a typical prefix cache. */
const AFFINITY_PREFIX_LENGTH = 256;

/**
 * Requests with an idempotency key go to the first candidate of that key, so that a caller's retry
 * joins the running attempt. Prompts with the same prefix go to the same engine, which has the
 * prefix in its cache. All other requests are spread.
 * @param task - stage to place
 * @returns key of the candidate set, and how strongly its first candidate is preferred
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
