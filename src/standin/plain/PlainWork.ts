/** Work of plain services. Every `POST /{operation}` has an effect. */
import { z } from 'zod';
import { plainOutput } from '../BackendOutput.js';
import type { WorkFinder } from '../stage/BackendService.js';
import type { EffectCounts } from './EffectCounts.js';

/**
 * Creates the finder that maps the calls of a plain service to work.
 * @param effects - counts the effects of the calls
 * @returns work finder
 */
export function createPlainWorkFinder(effects: EffectCounts): WorkFinder {
  return (method, path) => {
    const operation = path.slice(1);
    if (method !== 'POST' || operation === '') return undefined;
    return (call) => {
      const body: unknown = call.parseBody(z.unknown());
      return {
        operation,
        promptTokens: 0,
        createBody: () => plainOutput(operation, body),
        onStart: () => effects.add(operation, call.labels.idempotencyKey),
      };
    };
  };
}
