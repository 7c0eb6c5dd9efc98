import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Run } from '../../standin/Faults.js';
import { callEntry, type CallerAnswer } from '../client/CallerClient.js';
import type { AccountDescription, TemplateTraffic } from '../deployment/Types.js';
import type { Cluster } from '../launch/Cluster.js';
import type { EntryInstance } from '../launch/Types.js';

/** One request of a mixed load and its answer. */
export interface MixedRecord {
  /** Unique text in the input; the idempotency key of non-idempotent requests. */
  readonly token: string;
  readonly account: AccountDescription;
  readonly traffic: TemplateTraffic;
  readonly input: Record<string, unknown>;
  readonly isKeyed: boolean;
  readonly entry: EntryInstance;
  /** Wall-clock milliseconds. */
  readonly sentAt: number;
  readonly answer: CallerAnswer;
}

/** Options of a mixed load. */
export interface MixedLoadOptions {
  readonly perSecond: number;
  /** Names of templates; all of the deployment by default. */
  readonly templates?: readonly string[];
  /** Account of a request; drawn by share by default. */
  readonly accounts?: readonly AccountDescription[];
  /** Deadline of a request, given the account's. */
  readonly timeoutMs?: (deadlineMs: number) => number;
  /** Entries that the balancer may choose; all by default. */
  readonly entries?: () => readonly EntryInstance[];
  /** Put in front of every token, so that several loads do not share one. */
  readonly prefix?: string;
}

/** Open-loop load of single requests over several templates and accounts. */
export class MixedLoad {
  readonly records: MixedRecord[] = [];

  private readonly open: Promise<void>[] = [];

  private sent = 0;

  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly options: MixedLoadOptions,
    private readonly random: SeededRandom,
  ) {}

  /**
   * Sends requests at a steady rate and waits for all answers.
   * @param seconds - length of the load
   */
  async run(seconds: number): Promise<void> {
    const endAt = Date.now() + seconds * 1000;
    while (!this.stopped && Date.now() < endAt) {
      this.open.push(this.send());
      await sleep(1000 / this.options.perSecond);
    }
    await Promise.all(this.open);
  }

  /** Sends no further requests. */
  stop(): void {
    this.stopped = true;
  }

  private async send(): Promise<void> {
    const { deployment } = this.cluster.options;
    const { templates, accounts = deployment.accounts, timeoutMs = same } = this.options;
    const allowed = deployment.traffic.filter(
      ({ template }) => !templates || templates.includes(template.name),
    );
    const traffic = this.pick(allowed);
    const account = this.pick(accounts);
    const entry = this.pick(this.options.entries?.() ?? this.cluster.entries);
    const token = `${this.options.prefix ?? 'request'}-${this.sent}`;
    this.sent += 1;
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
 * @param cluster - running cluster
 * @returns runs of all backend servers
 */
export async function allRuns(cluster: Cluster): Promise<Run[]> {
  return (await Promise.all(cluster.servers.map((server) => server.control.runs()))).flat();
}

/**
 * @param record - request
 * @returns short name for reports of violations
 */
export function nameOf(record: MixedRecord): string {
  return `${record.traffic.template.name} ${record.token} of ${record.account.id}`;
}

function same(deadlineMs: number): number {
  return deadlineMs;
}
