/** Prompt text of generate stages. */
import type { z } from 'zod';
import type { GenerateInput } from '../../common/protocol/StageData.js';

/**
 * @param input - checked stage input
 * @returns prompt and documents in the form that agents give to engines
 */
export function completionPrompt(input: z.infer<typeof GenerateInput>): string {
  const documents = (input.documents ?? []).map((document) => document.text);
  return [input.prompt, ...documents].join('\n\n');
}
