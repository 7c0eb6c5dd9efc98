/**
 * Naive baseline for comparison with the current policy. It serves the caller interface of an entry
 * without claims, admission control or deadlines at the backend servers, and with no agent in front
 * of the backend servers.
 */
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import { sha256 } from '../../common/Digest.js';
import { CALLER_ERROR_STATUS, type CallerErrorKind } from '../../common/protocol/CallerError.js';
import { CallerRequest } from '../../common/protocol/CallerRequest.js';
import { NaiveConfiguration } from './NaiveConfiguration.js';
import { NaivePipeline, type NaiveRequest } from './NaivePipeline.js';
import type { NaiveSettings } from './NaiveSettings.js';

const REQUEST_PATH = /^\/v1\/pipelines\/([^/]+)\/requests$/;
const DEFAULT_DEADLINE_MS = 6000;

/** Serves the caller interface with the naive policy. */
export class NaiveServer {
  private readonly configuration: NaiveConfiguration;

  private readonly pipeline: NaivePipeline;

  private readonly server = createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  /** @param settings - validated settings */
  constructor(private readonly settings: NaiveSettings) {
    this.configuration = new NaiveConfiguration(settings.tableUrl);
    this.pipeline = new NaivePipeline(settings.servers);
  }

  /** Reads the configuration, starts to listen and prints the ready line to standard output. */
  async start(): Promise<void> {
    await this.configuration.load();
    const refreshConfiguration = (): void => {
      this.configuration.load().catch(() => undefined);
    };
    setInterval(refreshConfiguration, this.settings.pollIntervalMs).unref();
    const [host, port] = this.settings.address.split(':') as [string, string];
    await new Promise<void>((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
    process.stdout.write(`${JSON.stringify({ ready: true, address: this.settings.address })}\n`);
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const pathMatch = REQUEST_PATH.exec(request.url ?? '');
    const template = pathMatch && this.configuration.template(pathMatch[1]!);
    if (!template) return sendError(response, 'not-found', 'no such template');
    const token = (request.headers.authorization ?? '').replace(/^Bearer /, '');
    const account = this.configuration.account(sha256(token));
    if (!account) return sendError(response, 'unauthenticated', 'unknown token');
    const body = CallerRequest.safeParse(JSON.parse(await text(request)));
    if (!body.success) return sendError(response, 'bad-request', body.error.message);
    const deadlineMs = account.templates[template.name]?.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const streamed = (request.headers.accept ?? '').includes('text/event-stream');
    if (streamed) response.writeHead(200, { 'content-type': 'text/event-stream' });
    return this.runAndRespond(response, streamed, {
      requestId: randomUUID(),
      account: account.id,
      template,
      input: body.data.input,
      idempotencyKey: headerOf(request, 'idempotency-key'),
      timeoutMs: Math.min(deadlineMs, body.data.timeoutMs ?? deadlineMs),
      onChunk: (offset, part) => {
        if (streamed) writeEvent(response, 'chunk', { offset, text: part });
      },
    });
  }

  private async runAndRespond(
    response: ServerResponse,
    streamed: boolean,
    request: NaiveRequest,
  ): Promise<void> {
    try {
      const result = await this.pipeline.run(request);
      if (!streamed) return sendJson(response, 200, result);
      writeEvent(response, 'result', result);
      response.end();
    } catch (error) {
      const body = errorBody('stage-failed', String(error), request.requestId);
      if (!streamed) return sendJson(response, CALLER_ERROR_STATUS['stage-failed'], body);
      writeEvent(response, 'error', body);
      response.end();
    }
    return undefined;
  }
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Builds an error with outcome "not-run". The baseline reports every failure so, because it does
 * not know whether a backend server ran the request.
 */
function errorBody(kind: CallerErrorKind, message: string, requestId?: string): unknown {
  return { error: { kind, outcome: 'not-run', message, ...(requestId && { requestId }) } };
}

function sendError(response: ServerResponse, kind: CallerErrorKind, message: string): void {
  sendJson(response, CALLER_ERROR_STATUS[kind], errorBody(kind, message));
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

function writeEvent(response: ServerResponse, event: string, data: unknown): void {
  response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
}
