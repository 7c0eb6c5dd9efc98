/** Builds the prompt text of generate stages. */
import type { z } from 'zod';
import type { GenerateInput } from '../../common/protocol/StageData.js';

/**
 * @param input - validated stage input
 * @returns prompt followed by the documents, in the format in which agents send them to engines
 */
export function completionPrompt(input: z.infer<typeof GenerateInput>): string {
  const documents = (input.documents ?? []).map((document) => document.text);
  return [input.prompt, ...documents].join('\n\n');
}
