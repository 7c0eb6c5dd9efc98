import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { nodeHTTPRequestHandler } from '@trpc/server/adapters/node-http';
import { createAgentRouter } from '../../agent/AgentRouter.js';
import { sha256 } from '../../common/Digest.js';
import {
  ATTEMPT_PATH,
  HEARTBEAT_INTERVAL_MS,
  type Attempt,
  type AttemptStatus,
  type Frame,
  type RefusalReason,
} from '../../common/protocol/Attempt.js';
import type { Claim } from '../../common/protocol/Claim.js';
import type { Acknowledgement, AgentControl } from '../../common/protocol/Control.js';

/** How a fake agent handles an attempt. */
export type Behaviour =
  | {
      readonly kind: 'run';
      readonly output: unknown;
      readonly chunks?: readonly string[];
      /** Run time until the result, in ms. */
      readonly delayMs?: number;
      /** Queueing time before the attempt starts, in ms; it can be voided until then. */
      readonly waitMs?: number;
    }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason; readonly claim?: Claim }
  | { readonly kind: 'fail'; readonly outcome: 'ran' | 'unknown' };

/** Frames without the fields that all frames share. */
type FrameContent<F = Frame> = F extends Frame
  ? Omit<F, 'attemptId' | 'incarnation' | 'notice' | 'load'>
  : never;

/** State of a received attempt. */
interface ReceivedAttempt {
  readonly attempt: Attempt;
  state: AttemptStatus['state'];
  readonly chunks: string[];
  final: FrameContent | null;
  readonly listeners: Set<() => void>;
}

/** Writes one line of a frame stream; may alter or repeat it, or break the connection. */
export type LineWriter = (line: string, response: ServerResponse, type: Frame['type']) => void;

const writeUnchanged: LineWriter = (line, response) => {
  response.write(line);
};

/**
 * Agent for tests and measurements of the entry. Simulates the backend server; can refuse, fail and
 * delay attempts and corrupt frames.
 */
export class FakeAgent {
  /** Attempts that started to run, in order. */
  readonly runs: Attempt[] = [];

  /** Received attempts, including re-sent ones. */
  readonly received: Attempt[] = [];

  readonly acknowledged: Acknowledgement[] = [];

  readonly cancelled: string[] = [];

  incarnation = 'first';

  draining = false;

  waitMs = 0;

  writeLine: LineWriter = writeUnchanged;

  private readonly records = new Map<string, ReceivedAttempt>();

  private isRecording = true;

  private readonly server: Server;

  private readonly router = createAgentRouter(this.createControl());

  /**
   * @param id - id in the membership list
   * @param behave - selects the behaviour for each new attempt
   */
  constructor(
    readonly id: string,
    public behave: (attempt: Attempt) => Behaviour,
  ) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async listen(port = 0): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Drops attempts when they end and records none, so that memory does not grow in long runs. */
  disableRecording(): void {
    this.isRecording = false;
  }

  /** Drops all attempts and connections, like a restart of the agent process. */
  restart(incarnation: string): void {
    this.incarnation = incarnation;
    this.records.clear();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url !== ATTEMPT_PATH) {
      await nodeHTTPRequestHandler({
        router: this.router,
        req: request,
        res: response,
        path: (request.url ?? '').replace(/^\/trpc\//, '').split('?')[0]!,
        createContext: () => ({}),
      });
      return;
    }
    let body = '';
    for await (const part of request) body += String(part);
    const attempt = JSON.parse(body) as Attempt;
    if (this.isRecording) this.received.push(attempt);
    this.stream(this.findOrCreate(attempt), attempt, response);
  }

  private findOrCreate(attempt: Attempt): ReceivedAttempt {
    const existing = this.records.get(attempt.attemptId);
    if (existing) return existing;
    const record: ReceivedAttempt = {
      attempt,
      state: 'waiting',
      chunks: [],
      final: null,
      listeners: new Set(),
    };
    this.records.set(attempt.attemptId, record);
    this.applyBehaviour(record);
    return record;
  }

  private applyBehaviour(record: ReceivedAttempt): void {
    const behaviour = this.behave(record.attempt);
    if (behaviour.kind === 'refuse') {
      const { reason, claim } = behaviour;
      this.finish(record, 'voided', { type: 'refused', reason, claim, message: reason });
    } else if (behaviour.kind === 'fail') {
      this.runs.push(record.attempt);
      const { outcome } = behaviour;
      const usage = { acceleratorMs: 1, tokensIn: 0, tokensOut: 0, calls: 1 };
      this.finish(record, 'failed', { type: 'failed', outcome, usage, message: 'backend error' });
    } else {
      runAfter(behaviour.waitMs, () => this.execute(record, behaviour));
    }
  }

  private execute(record: ReceivedAttempt, behaviour: Extract<Behaviour, { kind: 'run' }>): void {
    if (record.state !== 'waiting') return;
    Object.assign(record, { state: 'running' });
    if (this.isRecording) this.runs.push(record.attempt);
    record.chunks.push(...(behaviour.chunks ?? []));
    record.listeners.forEach((listener) => listener());
    runAfter(behaviour.delayMs, () => {
      if (record.state === 'running') this.finish(record, 'finished', resultOf(record, behaviour));
    });
  }

  private finish(
    record: ReceivedAttempt,
    state: ReceivedAttempt['state'],
    final: FrameContent,
  ): void {
    Object.assign(record, { state, final });
    if (!this.isRecording) this.records.delete(record.attempt.attemptId);
    record.listeners.forEach((listener) => listener());
  }

  private stream(record: ReceivedAttempt, request: Attempt, response: ServerResponse): void {
    let next = request.resumeFrom;
    const send = (content: FrameContent) => {
      if (!response.destroyed && !response.writableEnded) {
        this.writeLine(
          `${JSON.stringify(this.completeFrame(record, content))}\n`,
          response,
          content.type,
        );
      }
    };
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    send({ type: 'accepted' });
    const heartbeat = setInterval(() => send({ type: 'heartbeat' }), HEARTBEAT_INTERVAL_MS);
    const advance = () => {
      for (; next < record.chunks.length; next += 1) {
        send({ type: 'chunk', offset: next, text: record.chunks[next]!, tokens: 1 });
      }
      if (!record.final) return;
      // A request that joins the attempt of another request gets the result under its own id.
      const { requestId } = request;
      const replayed = requestId !== record.attempt.requestId;
      send(
        record.final.type === 'result' ? { ...record.final, requestId, replayed } : record.final,
      );
      response.end();
    };
    record.listeners.add(advance);
    response.on('close', () => {
      clearInterval(heartbeat);
      record.listeners.delete(advance);
    });
    advance();
  }

  private completeFrame(record: ReceivedAttempt, content: FrameContent): Frame {
    const { attemptId } = record.attempt;
    const { incarnation } = this;
    if (content.type === 'chunk') return { ...content, attemptId, incarnation };
    return {
      ...content,
      attemptId,
      incarnation,
      notice: { revision: 1, confirmedAgeMs: 0 },
      load: { slots: 4, running: 0, waiting: 0, waitMs: this.waitMs, draining: this.draining },
    };
  }

  private statusOf(attemptId: string): AttemptStatus {
    const state = this.records.get(attemptId)?.state ?? 'unknown';
    return { incarnation: this.incarnation, state };
  }

  private voidWaiting(attemptId: string): AttemptStatus {
    const record = this.records.get(attemptId);
    if (!record) return { incarnation: this.incarnation, state: 'voided' };
    if (record.state === 'waiting') {
      this.finish(record, 'voided', { type: 'refused', reason: 'voided', message: 'voided' });
    }
    return this.statusOf(attemptId);
  }

  private createControl(): AgentControl {
    const unsupported = () => Promise.reject(new Error('not used by the entry'));
    const notice = { revision: 1, confirmedAgeMs: 0 };
    return {
      configuration: { since: async () => ({ changes: [], notice }), notify: async () => notice },
      status: async (attemptId) => this.statusOf(attemptId),
      voidAttempt: async (attemptId) => this.voidWaiting(attemptId),
      cancel: async (attemptId) => {
        this.cancelled.push(attemptId);
        return this.voidWaiting(attemptId);
      },
      acknowledge: async (attempts) => {
        if (this.isRecording) this.acknowledged.push(...attempts);
      },
      drain: unsupported,
      resume: unsupported,
      serverStatus: unsupported,
    };
  }
}

function runAfter(delayMs: number | undefined, action: () => void): void {
  if (delayMs) setTimeout(action, delayMs).unref();
  else action();
}

function resultOf(
  record: ReceivedAttempt,
  behaviour: Extract<Behaviour, { kind: 'run' }>,
): FrameContent {
  const output = JSON.stringify(behaviour.output);
  const { requestId, account, stage } = record.attempt;
  return {
    type: 'result',
    requestId,
    account,
    stage,
    output,
    length: Buffer.byteLength(output),
    digest: sha256(output),
    chunks: record.chunks.length,
    usage: { acceleratorMs: 1, tokensIn: 0, tokensOut: record.chunks.length, calls: 1 },
    queueMs: 0,
    serviceMs: behaviour.delayMs ?? 0,
    replayed: false,
  };
}
