import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import { callEntry, type CallerAnswer } from '../client/CallerClient.js';
import type { AccountDescription, TemplateTraffic } from '../deployment/Types.js';
import type { Cluster } from '../launch/Cluster.js';

/** An idempotency key of an account and all answers to it. */
export interface KeyRecord {
  readonly key: string;
  readonly account: AccountDescription;
  readonly traffic: TemplateTraffic;
  readonly answers: CallerAnswer[];
}

/** Maximum pause after a send that does not overlap with the next one, in milliseconds. */
const MAX_PAUSE_MS = 1500;

/** Sends each of many non-idempotent requests several times through randomly chosen entries. */
export class KeyedCalls {
  readonly records: KeyRecord[] = [];

  private readonly pending: Promise<void>[] = [];

  constructor(
    private readonly cluster: Cluster,
    private readonly templates: readonly string[],
    private readonly random: SeededRandom,
  ) {}

  /**
   * Starts new keys at a fixed rate; sends of different keys overlap.
   * @param seconds - time during which new keys are started
   * @param perSecond - keys started per second
   */
  async run(seconds: number, perSecond: number): Promise<void> {
    const endAt = Date.now() + seconds * 1000;
    while (Date.now() < endAt) {
      this.pending.push(this.sendNewKey());
      await sleep(1000 / perSecond);
    }
    await Promise.all(this.pending);
  }

  /**
   * Sends the request of a key through an entry chosen by the seeded generator.
   * @param record - key whose request is sent
   * @returns answer, which is also appended to the record
   */
  async send(record: KeyRecord): Promise<CallerAnswer> {
    const { entries } = this.cluster;
    const entry = entries[Math.floor(this.random.next() * entries.length)]!;
    const answer = await callEntry({
      address: entry.address,
      token: record.account.token,
      template: record.traffic.template.name,
      input: record.traffic.input(record.key),
      idempotencyKey: record.key,
      timeoutMs: record.traffic.deadlineMs,
    });
    record.answers.push(answer);
    return answer;
  }

  private async sendNewKey(): Promise<void> {
    const record = this.newRecord();
    const sends = 2 + Math.floor(this.random.next() * 3);
    const concurrent: Promise<CallerAnswer>[] = [];
    for (let count = 0; count < sends; count += 1) {
      const isConcurrent = this.random.next() < 0.5;
      const pauseMs = this.random.next() * MAX_PAUSE_MS;
      if (isConcurrent) concurrent.push(this.send(record));
      else await this.send(record).then(() => sleep(pauseMs));
    }
    await Promise.all(concurrent);
  }

  private newRecord(): KeyRecord {
    const { deployment } = this.cluster.options;
    const name = this.templates[this.records.length % this.templates.length];
    const traffic = deployment.traffic.find((item) => item.template.name === name);
    if (!traffic) throw new Error(`the deployment has no template ${name}`);
    const account = deployment.accounts[this.records.length % deployment.accounts.length]!;
    const record = { key: `key-${this.records.length}`, account, traffic, answers: [] };
    this.records.push(record);
    return record;
  }
}
