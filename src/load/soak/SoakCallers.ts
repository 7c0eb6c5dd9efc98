/** Callers that keep their connections open and send one request after the other. */
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

/** Connections a process; enough for requests to overlap at the backend servers. */
const CALLERS_PER_PROCESS = 5;

/** A caller gives up a request without a final answer; well beyond every route's time-out. */
const PATIENCE_MS = 4000;

/** Pause between two requests of a caller. */
const LONGEST_PAUSE_MS = 60;

/** Pause before the next connection to a process that is down. */
const RECONNECT_PAUSE_MS = 50;

/** Share of requests whose caller leaves, and when at the latest. */
const LEAVING_SHARE = 0.1;
const LONGEST_STAY_MS = 150;

/** Share of requests with the key that comes and goes. */
const EXTRA_KEY_SHARE = 0.1;

/** Sends requests of all kinds to all processes and records what comes back. */
export class SoakCallers {
  private readonly loops: Promise<void>[] = [];

  private stopped = false;

  private count = 0;

  constructor(
    private readonly deployment: SoakDeployment,
    private readonly history: SoakHistory,
    private readonly random: SeededRandom,
    private readonly keys: { readonly usual: string; readonly extra: string },
  ) {}

  start(): void {
    this.deployment.processes.forEach((process) => {
      for (let caller = 0; caller < CALLERS_PER_PROCESS; caller += 1) {
        this.loops.push(this.run(process));
      }
    });
  }

  /** Ends the loops after the request each one waits for. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  /**
   * Sends one request.
   * @param client - connection to the process
   * @param process - process behind the connection
   * @param kind - kind of the request
   * @param options - key to send, and when the caller leaves, in ms
   * @returns the request with its outcome
   */
  async send(
    client: Client,
    process: SoakProcess,
    kind: RequestKind,
    options: { key: string; leavesAfterMs?: number },
  ): Promise<RequestRecord> {
    this.count += 1;
    const record: RequestRecord = {
      id: `request-${this.count}`,
      kind,
      process: process.name,
      key: options.key,
      sentAt: performance.now(),
    };
    this.history.requests.push(record);
    const abort = new AbortController();
    const limitMs = Math.min(options.leavesAfterMs ?? Infinity, PATIENCE_MS);
    const timer = setTimeout(() => {
      // An answer that comes as the caller leaves counts as neither.
      if (options.leavesAfterMs !== undefined) record.leftAt = performance.now();
      abort.abort();
    }, limitMs);
    record.outcome = await this.exchange(client, record, abort.signal);
    clearTimeout(timer);
    return record;
  }

  private async run(process: SoakProcess): Promise<void> {
    const client = new Client(`http://${process.address}`, { pipelining: 1 });
    while (!this.stopped) {
      if (!process.process.running) {
        await sleep(RECONNECT_PAUSE_MS);
        continue;
      }
      const kinds = Object.keys(REQUEST_KINDS) as RequestKind[];
      const kind = kinds[Math.floor(this.random.next() * kinds.length)]!;
      const key = this.random.next() < EXTRA_KEY_SHARE ? this.keys.extra : this.keys.usual;
      const leaves = this.random.next() < LEAVING_SHARE;
      const leavesAfterMs = this.random.next() * LONGEST_STAY_MS;
      const record = await this.send(client, process, kind, {
        key,
        ...(leaves && { leavesAfterMs }),
      });
      const isDown = record.outcome?.status === undefined;
      await sleep(isDown ? RECONNECT_PAUSE_MS : this.random.next() * LONGEST_PAUSE_MS);
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
    let named: ReturnType<SoakDeployment['readHeaders']> = {
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
      named = this.deployment.readHeaders(response.headers);
      response.body.setEncoding('utf8');
      for await (const chunk of response.body) body += chunk as string;
      isComplete = true;
    } catch {
      // A broken connection is an outcome like others; the checks decide whether it is allowed.
    }
    return { status, body, isComplete, ...named, endedAt: performance.now() };
  }
}
