/** Inputs and outputs of stages, by stage kind. */
import { z } from 'zod';

/** A retrieved document. */
export const Document = z.object({ id: z.string(), text: z.string() });
export type Document = z.infer<typeof Document>;

export const EncodeInput = z.object({ text: z.string() });
export const EncodeOutput = z.object({ vector: z.array(z.number()) });
export const RetrieveInput = z.object({
  vector: z.array(z.number()),
  limit: z.number().int().positive().max(100).default(8),
});
export const RetrieveOutput = z.object({ documents: z.array(Document) });
export const RerankInput = z.object({
  query: z.string(),
  documents: z.array(Document),
  limit: z.number().int().positive().max(100).default(3),
});
export const RerankOutput = z.object({ documents: z.array(Document) });
export const GenerateInput = z.object({
  prompt: z.string(),
  documents: z.array(Document).optional(),
  maxTokens: z.number().int().positive().max(8192).default(64),
});
export const GenerateOutput = z.object({ text: z.string() });
export const CallInput = z.object({ body: z.unknown() });
export const CallOutput = z.object({ body: z.unknown() });
