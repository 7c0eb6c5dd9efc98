/** HTTP API for operators: authenticates calls, routes them and converts bodies. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AgentRouter } from '../../agent/AgentRouter.js';
import { ByteCollector } from '../../common/ByteCollector.js';
import { PAYLOAD_BOUNDS, parseJson } from '../../common/json/BoundedJson.js';
import { sha256 } from '../../common/Digest.js';
import { MAX_REQUEST_BYTES } from '../../common/protocol/CallerRequest.js';
import { OPERATOR_ERROR_STATUS, OPERATOR_PATH } from '../../common/protocol/Operator.js';
import { createClientLookup } from '../../follower/ConfigurationClients.js';
import type { EntryRouter } from '../EntryRouter.js';
import type { EntrySettings } from '../EntrySettings.js';
import { publishChange } from './commands/PublishChange.js';
import { setDraining } from './commands/SetDraining.js';
import { queryConfiguration } from './queries/ConfigurationQuery.js';
import { queryLedger } from './queries/LedgerQuery.js';
import { queryExplanation } from './queries/ExplanationQuery.js';
import { queryStatus } from './queries/StatusQuery.js';
import {
  refuse,
  type OperatorHandler,
  type OperatorOutcome,
  type OperatorServices,
} from './Types.js';

/** Options of {@link createOperatorApi}. */
export interface OperatorApiOptions extends Omit<OperatorServices, 'agentAt' | 'entryAt'> {
  /** Names of operators and SHA-256 digests of their tokens. */
  readonly operators: EntrySettings['operators'];
  readonly internalToken: string;
}

/** Handles a request; resolves to false if its path does not belong to the operator API. */
export type OperatorApi = (request: IncomingMessage, response: ServerResponse) => Promise<boolean>;

interface Route {
  readonly method: string;
  /** Path after the prefix; its capture group is the path parameter. */
  readonly path: RegExp;
  readonly handle: OperatorHandler;
}

const ROUTES: readonly Route[] = [
  { method: 'POST', path: /^changes$/, handle: publishChange },
  { method: 'POST', path: /^servers\/([^/]+)\/drain$/, handle: setDraining(true) },
  { method: 'POST', path: /^servers\/([^/]+)\/resume$/, handle: setDraining(false) },
  { method: 'GET', path: /^configuration$/, handle: queryConfiguration },
  { method: 'GET', path: /^ledger$/, handle: queryLedger },
  { method: 'GET', path: /^status$/, handle: queryStatus },
  { method: 'GET', path: /^requests\/([^/]+)$/, handle: queryExplanation },
];

/**
 * Creates the operator API, which the entry serves under `/v1/operator/`.
 * @param options - services, operators and internal token
 * @returns request handler
 */
export function createOperatorApi(options: OperatorApiOptions): OperatorApi {
  const services: OperatorServices = {
    ...options,
    agentAt: createClientLookup<AgentRouter>(options.internalToken),
    entryAt: createClientLookup<EntryRouter>(options.internalToken),
  };
  const operators = new Map(options.operators.map(({ tokenDigest, name }) => [tokenDigest, name]));
  return async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://entry');
    if (!url.pathname.startsWith(OPERATOR_PATH)) return false;
    const operator = operators.get(sha256(bearerToken(request)));
    const outcome =
      operator === undefined
        ? refuse({ kind: 'unauthenticated', message: 'the operator token is missing or unknown' })
        : await handleCall(services, operator, request, url);
    sendOutcome(response, outcome);
    return true;
  };
}

async function handleCall(
  services: OperatorServices,
  operator: string,
  request: IncomingMessage,
  url: URL,
): Promise<OperatorOutcome> {
  const path = url.pathname.slice(OPERATOR_PATH.length);
  const route = ROUTES.find((item) => item.method === request.method && item.path.test(path));
  if (!route) {
    return refuse({
      kind: 'not-found',
      message: `unknown operation ${request.method} ${url.pathname}`,
    });
  }
  let name: string;
  let body: unknown;
  try {
    name = decodeURIComponent(route.path.exec(path)?.[1] ?? '');
    body = await readBody(request);
  } catch (error) {
    return refuse({ kind: 'bad-request', message: reasonOf(error) });
  }
  try {
    return await route.handle(services, { operator, name, query: url.searchParams, body });
  } catch (error) {
    services.logger.error('operator call failed', { path, reason: reasonOf(error) });
    return refuse({ kind: 'unavailable', message: 'internal error in the entry; see its log' });
  }
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function bearerToken(request: IncomingMessage): string {
  const [scheme, token] = (request.headers.authorization ?? '').split(' ');
  return scheme?.toLowerCase() === 'bearer' ? (token ?? '') : '';
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const body = new ByteCollector();
  // Leaving the loop must not destroy the connection, or the error could not be sent.
  const parts = request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
  for await (const chunk of parts) {
    if (body.length + chunk.length > MAX_REQUEST_BYTES) {
      throw new RangeError(`the body is larger than ${MAX_REQUEST_BYTES} bytes`);
    }
    body.append(chunk);
  }
  return body.length === 0 ? null : parseJson(body.bytes.toString('utf8'), PAYLOAD_BOUNDS);
}

function sendOutcome(response: ServerResponse, outcome: OperatorOutcome): void {
  const status = outcome.ok ? 200 : OPERATOR_ERROR_STATUS[outcome.error.kind];
  const text = JSON.stringify(outcome.ok ? outcome.body : { error: outcome.error });
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(`${text}\n`);
}
