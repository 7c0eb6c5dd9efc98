import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { RunRecord } from '../../standin/Faults.js';
import { callEntry, type CallerAnswer } from '../client/CallerClient.js';
import type { AccountDescription, TemplateTraffic } from '../deployment/Types.js';
import type { Cluster } from '../launch/Cluster.js';
import type { EntryInstance } from '../launch/Types.js';

/** A request of a mixed load and its answer. */
export interface RequestRecord {
  /** Unique text in the input; also the idempotency key of a non-idempotent request. */
  readonly token: string;
  readonly account: AccountDescription;
  readonly traffic: TemplateTraffic;
  readonly input: Record<string, unknown>;
  readonly isKeyed: boolean;
  readonly entry: EntryInstance;
  /** Wall-clock time in milliseconds. */
  readonly sentAt: number;
  readonly answer: CallerAnswer;
}

/** Options of a mixed load. */
export interface MixedLoadOptions {
  /** Requests per second. */
  readonly perSecond: number;
  /** Names of the templates to request; all templates of the deployment by default. */
  readonly templates?: readonly string[];
  /** Accounts that send requests, with equal probability; all accounts by default. */
  readonly accounts?: readonly AccountDescription[];
  /** Returns the timeout of a request for the deadline of its template, both in milliseconds. */
  readonly timeoutMs?: (deadlineMs: number) => number;
  /** Returns the entries that may receive a request; all entries by default. */
  readonly entries?: () => readonly EntryInstance[];
  /** Prefix of the tokens, which keeps those of concurrent loads distinct; `request` by default. */
  readonly prefix?: string;
}

/** Open-loop load over several templates and accounts. */
export class MixedLoad {
  readonly records: RequestRecord[] = [];

  private readonly pending: Promise<void>[] = [];

  private sentCount = 0;

  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly options: MixedLoadOptions,
    private readonly random: SeededRandom,
  ) {}

  /**
   * Sends requests at a fixed rate and waits for all answers.
   * @param seconds - time during which requests are sent
   */
  async run(seconds: number): Promise<void> {
    const endAt = Date.now() + seconds * 1000;
    while (!this.stopped && Date.now() < endAt) {
      this.pending.push(this.send());
      await sleep(1000 / this.options.perSecond);
    }
    await Promise.all(this.pending);
  }

  /** Stops sending requests. */
  stop(): void {
    this.stopped = true;
  }

  private async send(): Promise<void> {
    const { deployment } = this.cluster.options;
    const { templates, accounts = deployment.accounts, timeoutMs = identity } = this.options;
    const allowed = deployment.traffic.filter(
      ({ template }) => !templates || templates.includes(template.name),
    );
    const traffic = this.pick(allowed);
    const account = this.pick(accounts);
    const entry = this.pick(this.options.entries?.() ?? this.cluster.entries);
    const token = `${this.options.prefix ?? 'request'}-${this.sentCount}`;
    this.sentCount += 1;
    const input = traffic.input(token);
    const isKeyed = traffic.template.stages.some((stage) => !stage.idempotent);
    const sentAt = Date.now();
    const answer = await callEntry({
      address: entry.address,
      token: account.token,
      template: traffic.template.name,
      input,
      ...(isKeyed && { idempotencyKey: token }),
      streamed: traffic.streamed,
      timeoutMs: timeoutMs(traffic.deadlineMs),
    });
    this.records.push({ token, account, traffic, input, isKeyed, entry, sentAt, answer });
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random.next() * items.length)]!;
  }
}

/**
 * Reads the runs recorded by the backend servers.
 * @param cluster - running cluster
 * @returns runs of all backend servers
 */
export async function allRuns(cluster: Cluster): Promise<RunRecord[]> {
  return (await Promise.all(cluster.servers.map((server) => server.control.runs()))).flat();
}

/**
 * Names a request in the text of a violation.
 * @param record - request to name
 * @returns template, token and account of the request
 */
export function nameOf(record: RequestRecord): string {
  return `${record.traffic.template.name} ${record.token} of ${record.account.id}`;
}

function identity(deadlineMs: number): number {
  return deadlineMs;
}
