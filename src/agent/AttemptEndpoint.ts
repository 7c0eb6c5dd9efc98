import type { IncomingMessage, ServerResponse } from 'node:http';
import { ByteCollector } from '../common/ByteCollector.js';
import { PAYLOAD_BOUNDS, parseJson } from '../common/json/BoundedJson.js';
import { canonicalJson, sha256 } from '../common/Digest.js';
import type { Disposable } from '../common/events/Types.js';
import type { AttemptOutput } from '../common/attempts/AttemptOutput.js';
import { endedOutput, refusal } from '../common/attempts/Outcomes.js';
import { Attempt, HEARTBEAT_INTERVAL_MS } from '../common/protocol/Attempt.js';
import type { ConfigurationSource } from '../follower/Types.js';
import { FrameStream, type FrameContext } from './FrameStream.js';
import type { AttemptActor } from './AttemptActor.js';
import { findInputProblem } from './StageInputs.js';

/** Maximum size of a request body, which includes documents retrieved by earlier stages. */
const MAX_ATTEMPT_BYTES = 8 * 1024 * 1024;

/**
 * Time for which an entry may lag behind a revision that the agent knows. Attempts of an entry that
 * lags longer are refused, so that an accepted change is in force everywhere within 5 s.
 */
const STALE_REVISION_MS = 4000;

const STATUS_BAD_REQUEST = 400;
const STATUS_TOO_LARGE = 413;

const NOT_CONFIGURED = refusal('stale-revision', 'this agent has no configuration yet');

/** Services of {@link AttemptEndpoint}. */
export interface AttemptEndpointServices {
  readonly actor: AttemptActor;
  readonly frameContext: FrameContext;
  readonly configuration: ConfigurationSource;
  /** Returns a function that reads configuration changes from the entry that sent an attempt. */
  readonly pullChangesFrom: (
    attempt: Attempt,
  ) => Parameters<ConfigurationSource['receiveNotice']>[1];
}

/** Accepts attempts over HTTP and responds with streams of frames. */
export class AttemptEndpoint implements Disposable {
  private readonly openStreams = new Set<FrameStream>();

  /**
   * One timer sends the heartbeats of all connections, so none is silent for longer than an interval
   * plus the time for which a frame suppresses heartbeats.
   */
  private readonly heartbeatTimer: NodeJS.Timeout;

  /** @param services - attempt actor, configuration and common fields of frames */
  constructor(private readonly services: AttemptEndpointServices) {
    this.heartbeatTimer = setInterval(() => {
      for (const stream of this.openStreams) stream.heartbeat();
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Number of connections on which frames are still to be written. */
  get openStreamCount(): number {
    return this.openStreams.size;
  }

  /**
   * Handles `POST /v1/attempts`.
   * @param request - authenticated request
   * @param response - response to which the frames are written
   */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readBody(request);
    if (text === null) {
      sendError(response, STATUS_TOO_LARGE, 'the attempt is too large');
      return;
    }
    const attempt = parseAttempt(text);
    if (typeof attempt === 'string') {
      sendError(response, STATUS_BAD_REQUEST, attempt);
      return;
    }
    const output = await this.submit(attempt);
    if (response.destroyed) return;
    const frameStream: FrameStream = new FrameStream(
      response,
      attempt,
      output,
      this.services.frameContext,
      () => this.openStreams.delete(frameStream),
    );
    this.openStreams.add(frameStream);
    frameStream.start();
  }

  dispose(): void {
    clearInterval(this.heartbeatTimer);
    for (const stream of [...this.openStreams]) stream.dispose();
  }

  private submit(attempt: Attempt): AttemptOutput | Promise<AttemptOutput> {
    const { configuration, actor, pullChangesFrom } = this.services;
    const problem = findInputProblem(attempt);
    if (problem !== null) {
      return endedOutput(refusal('invalid', problem));
    }
    configuration.receiveNotice(attempt.notice, pullChangesFrom(attempt));
    // Before the first configuration it is unknown whether an operator has drained the server.
    if (!configuration.ready) return endedOutput(NOT_CONFIGURED);
    const stale = configuration.newerRevisionHeldMs(attempt.notice.revision) > STALE_REVISION_MS;
    const { operation, input } = attempt;
    const inputDigest = sha256(canonicalJson({ operation, input }));
    return actor.ask<AttemptOutput>((reply) => ({
      type: 'submit',
      attempt,
      inputDigest,
      stale,
      reply,
    }));
  }
}

/** @returns body as text, or null if it exceeds the limit */
async function readBody(request: IncomingMessage): Promise<string | null> {
  const body = new ByteCollector();
  for await (const part of request as AsyncIterable<Buffer>) {
    if (body.length + part.length > MAX_ATTEMPT_BYTES) return null;
    body.append(part);
  }
  return body.bytes.toString('utf8');
}

/** @returns the attempt, or a description of the error in the body */
function parseAttempt(text: string): Attempt | string {
  let body: unknown;
  try {
    body = parseJson(text, PAYLOAD_BOUNDS);
  } catch {
    return 'the body is not JSON';
  }
  const parsed = Attempt.safeParse(body);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0]!;
  return `${issue.path.join('.')}: ${issue.message}`;
}

function sendError(response: ServerResponse, status: number, message: string): void {
  response.writeHead(status, { 'content-type': 'application/json', connection: 'close' });
  response.end(JSON.stringify({ error: { kind: 'bad-request', message } }));
}
