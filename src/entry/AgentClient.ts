import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { LRUCache } from 'lru-cache';
import { Agent, Client } from 'undici';
import type { AgentRouter } from '../agent/AgentRouter.js';
import type { AttemptStatus, RevisionNotice } from '../common/protocol/Attempt.js';
import type { Change } from '../common/protocol/Configuration.js';
import {
  INTERNAL_TOKEN_HEADER,
  TRPC_PATH,
  type Acknowledgement,
} from '../common/protocol/Control.js';
import type { Clock } from '../common/time/Types.js';
import { AcknowledgementQueue } from './AcknowledgementQueue.js';
import { AttemptStream, type AttemptStreamServices } from './AttemptStream.js';
import type { AgentCalls, AttemptEnd, AttemptListener, AttemptOrder } from './Types.js';

/** Time to make a connection. Shorter than the silence time-out, so that a failed one is told apart. */
const CONNECT_TIMEOUT_MS = 500;

/** Idle connections are closed before the agent closes them (5 s in Node's HTTP server). */
const KEEP_ALIVE_MS = 3000;

const ACKNOWLEDGE_TIMEOUT_MS = 1000;
const PULL_TIMEOUT_MS = 1000;
const MAX_CONTROL_CLIENTS = 1000;

/** What an agent client needs of its surroundings. */
export interface AgentClientOptions {
  readonly clock: Clock;
  readonly internalToken: string;
  /** @returns `ip:port` of this entry, from which agents may pull configuration changes. */
  readonly sender: () => string;
  /** @returns what this entry knows of the configuration. */
  readonly notice: () => RevisionNotice;
  /** Takes what an agent knows of the configuration, and how to read changes from it. */
  readonly onNotice: (
    notice: RevisionNotice,
    pull: (after: number) => Promise<readonly Change[]>,
  ) => void;
}

/** Calls agents: attempts over streaming HTTP, everything else over tRPC. */
export class AgentClient implements AgentCalls {
  private readonly pool = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });

  private readonly controls = new LRUCache<string, TRPCClient<AgentRouter>>({
    max: MAX_CONTROL_CLIENTS,
  });

  private readonly acknowledgements = new AcknowledgementQueue((address, attempts) =>
    this.sendAcknowledgements(address, attempts),
  );

  private readonly streamServices: AttemptStreamServices;

  constructor(private readonly options: AgentClientOptions) {
    this.streamServices = {
      clock: options.clock,
      dispatcher: (address, fresh) => this.dispatcher(address, fresh),
      headers: () => this.headers(),
      sender: options.sender,
      notice: options.notice,
      onNotice: (address, notice) => options.onNotice(notice, (after) => this.pull(address, after)),
    };
  }

  run(order: AttemptOrder, listener: AttemptListener, signal: AbortSignal): Promise<AttemptEnd> {
    return new AttemptStream(this.streamServices, order, listener, signal).run();
  }

  status(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null> {
    return this.control(address)
      .attempt.status.query({ attemptId }, { signal: AbortSignal.timeout(timeoutMs) })
      .catch(() => null);
  }

  voidAttempt(
    address: string,
    attemptId: string,
    timeoutMs: number,
  ): Promise<AttemptStatus | null> {
    return this.control(address)
      .attempt.void.mutate({ attemptId }, { signal: AbortSignal.timeout(timeoutMs) })
      .catch(() => null);
  }

  cancel(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null> {
    return this.control(address)
      .attempt.cancel.mutate({ attemptId }, { signal: AbortSignal.timeout(timeoutMs) })
      .catch(() => null);
  }

  acknowledge(address: string, acknowledgement: Acknowledgement): void {
    this.acknowledgements.add(address, acknowledgement);
  }

  /** Sends what is queued and closes idle connections. */
  async close(): Promise<void> {
    await this.acknowledgements.flush();
    this.acknowledgements.dispose();
    await this.pool.destroy();
  }

  private dispatcher(address: string, fresh: boolean) {
    if (!fresh) return { dispatcher: this.pool, release: () => undefined };
    const client = new Client(`http://${address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return {
      dispatcher: client,
      release: () => {
        client.destroy().catch(() => undefined);
      },
    };
  }

  private headers(): Record<string, string> {
    return { [INTERNAL_TOKEN_HEADER]: `Bearer ${this.options.internalToken}` };
  }

  private control(address: string): TRPCClient<AgentRouter> {
    const known = this.controls.get(address);
    if (known) return known;
    const client = createTRPCClient<AgentRouter>({
      links: [httpLink({ url: `http://${address}${TRPC_PATH}`, headers: () => this.headers() })],
    });
    this.controls.set(address, client);
    return client;
  }

  private async pull(address: string, after: number): Promise<readonly Change[]> {
    const signal = AbortSignal.timeout(PULL_TIMEOUT_MS);
    const answer = await this.control(address).configuration.since.query({ after }, { signal });
    return answer.changes;
  }

  private async sendAcknowledgements(
    address: string,
    attempts: Acknowledgement[],
  ): Promise<boolean> {
    try {
      await this.control(address).attempt.acknowledge.mutate(
        { attempts },
        { signal: AbortSignal.timeout(ACKNOWLEDGE_TIMEOUT_MS) },
      );
      return true;
    } catch {
      return false;
    }
  }
}
