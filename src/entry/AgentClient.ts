import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { LRUCache } from 'lru-cache';
import { Agent, Client } from 'undici';
import { fetchBounded } from '../common/json/BoundedFetch.js';
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
import type { AgentCalls, AttemptEnd, AttemptListener, OutgoingAttempt } from './Types.js';

/** Shorter than the silence time-out, so that a failed connect is distinguished from silence. */
const CONNECT_TIMEOUT_MS = 500;

/** Shorter than the 5 s after which Node's HTTP server in the agent closes idle connections. */
const KEEP_ALIVE_MS = 3000;

const ACKNOWLEDGE_TIMEOUT_MS = 1000;
const PULL_TIMEOUT_MS = 1000;
const MAX_CONTROL_CLIENTS = 1000;

/** Options of {@link AgentClient}. */
export interface AgentClientOptions {
  readonly clock: Clock;
  readonly internalToken: string;
  /** @returns `ip:port` of this entry, from which agents can pull configuration changes. */
  readonly sender: () => string;
  /** @returns the configuration revision that this entry knows. */
  readonly notice: () => RevisionNotice;
  /** Called with the configuration revision that an agent knows and a way to pull its changes. */
  readonly onNotice: (
    notice: RevisionNotice,
    pull: (after: number) => Promise<readonly Change[]>,
  ) => void;
}

/** Client of all agents: sends attempts over streaming HTTP, all other calls over tRPC. */
export class AgentClient implements AgentCalls {
  private readonly pool = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });

  private readonly controlClients = new LRUCache<string, TRPCClient<AgentRouter>>({
    max: MAX_CONTROL_CLIENTS,
  });

  private readonly acknowledgements = new AcknowledgementQueue((address, attempts) =>
    this.sendAcknowledgements(address, attempts),
  );

  private readonly streamServices: AttemptStreamServices;

  constructor(private readonly options: AgentClientOptions) {
    this.streamServices = {
      clock: options.clock,
      dispatcher: (address, isResend) => this.dispatcher(address, isResend),
      headers: () => this.headers(),
      sender: options.sender,
      notice: options.notice,
      onNotice: (address, notice) =>
        options.onNotice(notice, (after) => this.pullChanges(address, after)),
    };
  }

  run(
    attempt: OutgoingAttempt,
    listener: AttemptListener,
    signal: AbortSignal,
  ): Promise<AttemptEnd> {
    return new AttemptStream(this.streamServices, attempt, listener, signal).run();
  }

  status(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null> {
    return this.controlClient(address)
      .attempt.status.query({ attemptId }, { signal: AbortSignal.timeout(timeoutMs) })
      .catch(() => null);
  }

  voidAttempt(
    address: string,
    attemptId: string,
    timeoutMs: number,
  ): Promise<AttemptStatus | null> {
    return this.controlClient(address)
      .attempt.void.mutate({ attemptId }, { signal: AbortSignal.timeout(timeoutMs) })
      .catch(() => null);
  }

  cancel(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null> {
    return this.controlClient(address)
      .attempt.cancel.mutate({ attemptId }, { signal: AbortSignal.timeout(timeoutMs) })
      .catch(() => null);
  }

  acknowledge(address: string, acknowledgement: Acknowledgement): void {
    this.acknowledgements.add(address, acknowledgement);
  }

  /** Sends queued acknowledgements, then closes all pooled connections. */
  async close(): Promise<void> {
    await this.acknowledgements.flush();
    this.acknowledgements.dispose();
    await this.pool.destroy();
  }

  /** @returns the connection pool, or a separate connection for a re-send. */
  private dispatcher(address: string, isResend: boolean) {
    if (!isResend) return { dispatcher: this.pool, release: () => undefined };
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

  private controlClient(address: string): TRPCClient<AgentRouter> {
    const cached = this.controlClients.get(address);
    if (cached) return cached;
    const client = createTRPCClient<AgentRouter>({
      links: [
        httpLink({
          url: `http://${address}${TRPC_PATH}`,
          headers: () => this.headers(),
          fetch: fetchBounded,
        }),
      ],
    });
    this.controlClients.set(address, client);
    return client;
  }

  private async pullChanges(address: string, after: number): Promise<readonly Change[]> {
    const signal = AbortSignal.timeout(PULL_TIMEOUT_MS);
    const response = await this.controlClient(address).configuration.since.query(
      { after },
      { signal },
    );
    return response.changes;
  }

  private async sendAcknowledgements(
    address: string,
    attempts: Acknowledgement[],
  ): Promise<boolean> {
    try {
      await this.controlClient(address).attempt.acknowledge.mutate(
        { attempts },
        { signal: AbortSignal.timeout(ACKNOWLEDGE_TIMEOUT_MS) },
      );
      return true;
    } catch {
      return false;
    }
  }
}
