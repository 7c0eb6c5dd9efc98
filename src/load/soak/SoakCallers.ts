/** Callers with keep-alive connections that send one request at a time. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from 'undici';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import {
  REQUEST_KINDS,
  type Outcome,
  type RequestKind,
  type RequestRecord,
  type SoakDeployment,
  type SoakHistory,
  type SoakProcess,
} from './Types.js';

/** Connections per process; enough for requests to overlap at the backend servers. */
const CALLERS_PER_PROCESS = 5;

/** Time after which a caller aborts a request; well above the time-out of every route. */
const RESPONSE_TIMEOUT_MS = 4000;

/** Longest pause between two requests of a caller. */
const MAX_PAUSE_MS = 60;

/** Pause before the next connection attempt to a process that is down. */
const RECONNECT_PAUSE_MS = 50;

/** Share of requests whose caller disconnects, and the longest time until then. */
const DISCONNECT_SHARE = 0.1;
const MAX_DISCONNECT_DELAY_MS = 150;

/** Share of requests with the API key that is only temporarily in the configuration. */
const TEMPORARY_KEY_SHARE = 0.1;

/** Sends requests of all kinds to all processes and records their outcomes. */
export class SoakCallers {
  private readonly callerLoops: Promise<void>[] = [];

  private stopped = false;

  private requestCount = 0;

  constructor(
    private readonly deployment: SoakDeployment,
    private readonly history: SoakHistory,
    private readonly random: SeededRandom,
    private readonly keys: { readonly permanent: string; readonly temporary: string },
  ) {}

  start(): void {
    this.deployment.processes.forEach((process) => {
      for (let caller = 0; caller < CALLERS_PER_PROCESS; caller += 1) {
        this.callerLoops.push(this.run(process));
      }
    });
  }

  /** Stops every caller after its current request. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.callerLoops);
  }

  /**
   * Sends one request.
   * @param client - connection to the process
   * @param process - process behind the connection
   * @param kind - kind of the request
   * @param options - API key, and the time after which the caller disconnects, in ms
   * @returns record of the request with its outcome
   */
  async send(
    client: Client,
    process: SoakProcess,
    kind: RequestKind,
    options: { key: string; disconnectAfterMs?: number },
  ): Promise<RequestRecord> {
    this.requestCount += 1;
    const record: RequestRecord = {
      id: `request-${this.requestCount}`,
      kind,
      process: process.name,
      key: options.key,
      sentAt: performance.now(),
    };
    this.history.requests.push(record);
    const abort = new AbortController();
    const timeoutMs = Math.min(options.disconnectAfterMs ?? Infinity, RESPONSE_TIMEOUT_MS);
    const timer = setTimeout(() => {
      // The response-time check skips this request, even if its response arrives at this moment.
      if (options.disconnectAfterMs !== undefined) record.disconnectedAt = performance.now();
      abort.abort();
    }, timeoutMs);
    record.outcome = await this.exchange(client, record, abort.signal);
    clearTimeout(timer);
    return record;
  }

  private async run(process: SoakProcess): Promise<void> {
    const client = new Client(`http://${process.address}`, { pipelining: 1 });
    while (!this.stopped) {
      if (!process.process.isRunning) {
        await sleep(RECONNECT_PAUSE_MS);
        continue;
      }
      const kinds = Object.keys(REQUEST_KINDS) as RequestKind[];
      const kind = kinds[Math.floor(this.random.next() * kinds.length)]!;
      const key =
        this.random.next() < TEMPORARY_KEY_SHARE ? this.keys.temporary : this.keys.permanent;
      const disconnects = this.random.next() < DISCONNECT_SHARE;
      const disconnectAfterMs = this.random.next() * MAX_DISCONNECT_DELAY_MS;
      const record = await this.send(client, process, kind, {
        key,
        ...(disconnects && { disconnectAfterMs }),
      });
      const isDown = record.outcome?.status === undefined;
      await sleep(isDown ? RECONNECT_PAUSE_MS : this.random.next() * MAX_PAUSE_MS);
    }
    await client.destroy();
  }

  private async exchange(
    client: Client,
    record: RequestRecord,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const { path, headers } = this.deployment.describeRequest(record);
    let status: number | undefined;
    let body = '';
    let isComplete = false;
    let headerFields: ReturnType<SoakDeployment['readHeaders']> = {
      signature: undefined,
      answeredId: undefined,
    };
    try {
      const response = await client.request({
        method: record.kind === 'claim' ? 'POST' : 'GET',
        path,
        headers,
        signal,
        ...(record.kind === 'claim' && { body: 'claim' }),
      });
      status = response.statusCode;
      headerFields = this.deployment.readHeaders(response.headers);
      response.body.setEncoding('utf8');
      for await (const chunk of response.body) body += chunk as string;
      isComplete = true;
    } catch {
      // A broken connection is recorded as an outcome; the checks decide whether it is allowed.
    }
    return { status, body, isComplete, ...headerFields, endedAt: performance.now() };
  }
}
