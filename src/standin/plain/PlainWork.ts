/** Work of plain services: every `POST /{operation}` has an effect. */
import { z } from 'zod';
import { plainAnswer } from '../Answers.js';
import type { WorkFinder } from '../stage/WorkService.js';
import type { EffectCounts } from './EffectCounts.js';

/**
 * Makes the work of a plain service.
 * @param effects - where effects are counted
 * @returns finder of the work of a call
 */
export function createPlainWorkFinder(effects: EffectCounts): WorkFinder {
  return (method, path) => {
    const operation = path.slice(1);
    if (method !== 'POST' || operation === '') return undefined;
    return (call) => {
      const body: unknown = call.parse(z.unknown());
      return {
        operation,
        promptTokens: 0,
        createBody: () => plainAnswer(operation, body),
        onStart: () => effects.add(operation, call.labels.idempotencyKey),
      };
    };
  };
}
