/**
 * Deployment that measurements run against. Its backend stand-ins are fast, so that the cost of
 * entry and agent is a visible part of the total.
 */
import { Template } from '../../common/protocol/Configuration.js';
import type { BackendKind, Deployment, Pool, TemplateTraffic } from '../deployment/Types.js';
import { encode, MODEL, rerank, retrieve } from '../deployment/Templates.js';

const SLOTS = 128;
const TOKEN_MS = 10;
const SERVICE_MS = 2;
const DEADLINE_MS = 30_000;

/** Indexes of the templates in the traffic of the deployment. */
export const THREE_STAGES = 0;
export const FIVE_STAGES = 1;
export const NON_IDEMPOTENT_CALL = 2;
export const SHORT_GENERATION = 3;
/** Index of the first of the templates for {@link GENERATED_TOKENS}. */
export const FIRST_GENERATION = 4;

/** Numbers of tokens requested by the generate templates. */
export const GENERATED_TOKENS = [50, 150, 300] as const;

function generate(maxTokens: number): Record<string, unknown> {
  const input = { prompt: '$request.question', maxTokens };
  return { name: 'generate', kind: 'generate', pool: 'engines', model: MODEL, input };
}

function call(name: string, idempotent: boolean): Record<string, unknown> {
  const base = { name, kind: 'call', pool: 'desk', operation: 'orders', idempotent };
  return { ...base, input: { body: '$request.details' } };
}

function pool(name: string, kind: BackendKind): Pool {
  const base = { name, kind, servers: 1, slots: SLOTS, serviceMs: SERVICE_MS };
  return { ...base, reportsLoad: false, ...(kind === 'engine' && { tokenIntervalMs: TOKEN_MS }) };
}

function traffic(name: string, stages: unknown[], streamed: boolean): TemplateTraffic {
  return {
    template: Template.parse({ name, stages }),
    deadlineMs: DEADLINE_MS,
    part: 0,
    streamed,
    input: (token) => ({ question: `What does order ${token} need?`, details: { token } }),
  };
}

/** @returns deployment with five pools of one server each, one account, and the templates above */
export function measuredDeployment(): Deployment {
  return {
    name: 'measured',
    region: 'region-a',
    failureDomains: ['domain-a'],
    entries: 1,
    pools: [
      pool('encoders', 'encoder'),
      pool('retrievers', 'retriever'),
      pool('rerankers', 'reranker'),
      pool('engines', 'engine'),
      pool('desk', 'plain'),
    ],
    accounts: [{ id: 'measured', token: 'measured-account-token', share: 1, priority: 5 }],
    traffic: [
      traffic('three-stages', [encode, retrieve('retrievers'), rerank], false),
      traffic(
        'five-stages',
        [call('lookup', true), encode, retrieve('retrievers'), rerank, generate(1)],
        false,
      ),
      traffic('deposit', [call('record', false)], false),
      traffic('short', [generate(1)], true),
      ...GENERATED_TOKENS.map((tokens) => traffic(`tokens-${tokens}`, [generate(tokens)], true)),
    ],
  };
}
