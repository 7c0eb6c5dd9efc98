/** Expected outputs of pipelines, computed with the pure functions of the stand-ins. */
import type { StageKind } from '../../common/protocol/Attempt.js';
import type { Stage, Template } from '../../common/protocol/Configuration.js';
import {
  CallInput,
  EncodeInput,
  GenerateInput,
  RerankInput,
  RetrieveInput,
} from '../../common/protocol/StageData.js';
import {
  completionTokens,
  embeddingOf,
  plainOutput,
  rerankDocuments,
  searchDocuments,
} from '../../standin/BackendOutput.js';
import { completionPrompt } from '../naive/CompletionPrompt.js';
import { resolveInput } from '../naive/ResolveInput.js';

/**
 * Computes the expected output of a request without running it.
 * @param template - requested pipeline
 * @param input - input of the request
 * @returns output of the last stage
 */
export function expectedOutput(template: Template, input: Record<string, unknown>): unknown {
  const outputs = new Map<string, unknown>([['request', input]]);
  let output: unknown;
  template.stages.forEach((stage) => {
    output = STAGE_OUTPUTS[stage.kind](stage, resolveInput(stage, outputs));
    outputs.set(stage.name, output);
  });
  return output;
}

const STAGE_OUTPUTS: Readonly<Record<StageKind, (stage: Stage, input: unknown) => unknown>> = {
  encode: (_stage, input) => ({ vector: embeddingOf(EncodeInput.parse(input).text) }),
  retrieve: (_stage, input) => {
    const { vector, limit } = RetrieveInput.parse(input);
    return { documents: searchDocuments(vector, limit) };
  },
  rerank: (_stage, input) => {
    const { query, documents, limit } = RerankInput.parse(input);
    const texts = documents.map((document) => document.text);
    const ranked = rerankDocuments(query, texts, limit);
    return { documents: ranked.map((result) => documents[result.index]) };
  },
  generate: (stage, input) => {
    const parsed = GenerateInput.parse(input);
    const tokens = completionTokens({
      model: stage.model ?? '',
      prompt: completionPrompt(parsed),
      max_tokens: parsed.maxTokens,
    });
    return { text: tokens.join('') };
  },
  call: (stage, input) => ({
    body: plainOutput(stage.operation ?? '', CallInput.parse(input).body),
  }),
};
