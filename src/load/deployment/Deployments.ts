/** Descriptions of two full-size deployments and of a small one for proofs, by name. */
import { callTemplate, planTemplate, programmeTemplate, questionTemplate } from './Templates.js';
import type {
  AccountDescription,
  BackendKind,
  Deployment,
  Pool,
  TemplateTraffic,
} from './Types.js';

/** Concurrent runs of one server; few, so that a single machine can generate load up to capacity. */
const SLOTS_BY_KIND: Readonly<Record<BackendKind, number>> = {
  engine: 4,
  encoder: 4,
  retriever: 2,
  reranker: 4,
  plain: 2,
};

/** Mean busy time of one run; for engines, the time of the prompt before the first token. */
const SERVICE_MS_BY_KIND: Readonly<Record<BackendKind, number>> = {
  engine: 30,
  encoder: 15,
  retriever: 250,
  reranker: 60,
  plain: 40,
};

const TOKEN_MS = 20;
const PLAN_DEADLINE_MS = 6000;
const CALL_DEADLINE_MS = 4000;

function pool(name: string, kind: BackendKind, servers: number, reportsLoad = false): Pool {
  return {
    name,
    kind,
    servers,
    slots: SLOTS_BY_KIND[kind],
    serviceMs: SERVICE_MS_BY_KIND[kind],
    ...(kind === 'engine' ? { tokenIntervalMs: TOKEN_MS } : {}),
    reportsLoad,
  };
}

function accounts(names: readonly string[], shares: readonly number[]): AccountDescription[] {
  return names.map((id, position) => ({
    id,
    token: `token-of-${id}`,
    share: shares[position] ?? 1,
    priority: 5,
  }));
}

const question = (token: string): Record<string, unknown> => ({ question: `question ${token}` });
const details = (token: string): Record<string, unknown> => ({ details: { reference: token } });
const questionWithDetails = (token: string): Record<string, unknown> => ({
  ...question(token),
  ...details(token),
});

function stagePools(archive: string): Pool[] {
  return [
    pool('engines', 'engine', 13),
    pool('encoders', 'encoder', 2),
    pool(archive, 'retriever', 4),
    pool('rerankers', 'reranker', 2),
  ];
}

function traffic(
  template: TemplateTraffic['template'],
  part: number,
  input: TemplateTraffic['input'],
  streamed = false,
): TemplateTraffic {
  const generates = template.stages.some((stage) => stage.kind === 'generate');
  return {
    template,
    deadlineMs: generates ? PLAN_DEADLINE_MS : CALL_DEADLINE_MS,
    part,
    streamed,
    input,
  };
}

function ashdown(): Deployment {
  return {
    name: 'ashdown',
    region: 'midlands',
    failureDomains: ['birmingham', 'nottingham', 'leicester', 'coventry'],
    entries: 3,
    pools: [
      ...stagePools('retrievers'),
      pool('bookings', 'plain', 4),
      pool('council-portal', 'plain', 4, true),
      pool('band-registry', 'plain', 4, true),
      pool('public-listings', 'plain', 4, true),
    ],
    accounts: accounts(
      ['birmingham-parks', 'nottingham-parks', 'leicester-bands', 'coventry-brass', 'ashdown-fair'],
      [40, 35, 10, 10, 5],
    ),
    traffic: [
      traffic(
        programmeTemplate('programme', 'band-registry', 'bands'),
        0.2,
        questionWithDetails,
        true,
      ),
      traffic(planTemplate('licensing-summary', 'retrievers'), 0.2, question),
      traffic(callTemplate('deposit', 'bookings', 'deposits', false), 0.2, details),
      traffic(callTemplate('listing', 'public-listings', 'listings', true), 0.2, details),
      traffic(callTemplate('council-notice', 'council-portal', 'notices', true), 0.2, details),
    ],
  };
}

function cooperative(): Deployment {
  return {
    name: 'cooperative',
    region: 'morava',
    failureDomains: ['brno', 'olomouc', 'zlin'],
    entries: 3,
    pools: [
      ...stagePools('pattern-archive'),
      pool('orders', 'plain', 3),
      pool('member-accounts', 'plain', 4, true),
      pool('dispatch', 'plain', 5, true),
    ],
    accounts: accounts(
      ['brno-mill', 'olomouc-mill', 'zlin-workshop', 'hodonin-workshop', 'kyjov-workshop'],
      [40, 35, 10, 10, 5],
    ),
    traffic: [
      traffic(planTemplate('stitch-plan', 'pattern-archive'), 0.3, question, true),
      traffic(questionTemplate('floor-question'), 0.2, question, true),
      traffic(callTemplate('job-claim', 'orders', 'job-claims', false), 0.2, details),
      traffic(callTemplate('order-status', 'dispatch', 'order-status', true), 0.2, details),
      traffic(callTemplate('member', 'member-accounts', 'members', true), 0.1, details),
    ],
  };
}

/** Deployment with few servers of each kind, so that a proof starts within seconds. */
function small(): Deployment {
  return {
    name: 'small',
    region: 'test',
    failureDomains: ['north', 'south'],
    entries: 2,
    pools: [
      pool('engines', 'engine', 2),
      pool('encoders', 'encoder', 1),
      pool('retrievers', 'retriever', 2),
      pool('rerankers', 'reranker', 1),
      pool('bookings', 'plain', 3),
      pool('orders', 'plain', 2),
    ],
    accounts: accounts(['brno-mill', 'birmingham-parks', 'kyjov-workshop'], [5, 5, 1]),
    traffic: [
      traffic(planTemplate('stitch-plan', 'retrievers'), 0.3, question, true),
      traffic(questionTemplate('floor-question'), 0.2, question, true),
      traffic(callTemplate('deposit', 'bookings', 'deposits', false), 0.2, details),
      traffic(callTemplate('job-claim', 'orders', 'job-claims', false), 0.2, details),
      traffic(callTemplate('order-status', 'orders', 'order-status', true), 0.1, details),
    ],
  };
}

/** Factories of deployment descriptions, by name; each call returns a new object. */
export const DEPLOYMENTS: Readonly<Record<string, () => Deployment>> = {
  ashdown,
  cooperative,
  small,
};
