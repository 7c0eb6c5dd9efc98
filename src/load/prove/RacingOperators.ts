import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Account, ChangeSubject } from '../../common/protocol/Configuration.js';
import { callOperator, publish } from '../client/OperatorClient.js';
import type { Cluster } from '../launch/Cluster.js';
import { accountOf } from '../launch/ConfigurationSeed.js';
import { publishNaively } from './NaivePublisher.js';
import type { Accepted } from './RevisionWatch.js';

const PAUSE_MS = 250;
const SENDS_OF_ONE_CHANGE = 30;

/** Accepted change with what it says. */
export interface AcceptedChange extends Accepted {
  readonly changeId: string;
  readonly share: number;
}

/** Operators that change the same account at the same time through different entries. */
export class RacingOperators {
  readonly accepted: AcceptedChange[] = [];

  conflicts = 0;

  /** Changes whose answer never told whether they were made. */
  readonly unsettled: string[] = [];

  private changes = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly random: SeededRandom,
    private readonly onAccepted: (change: Accepted) => void,
  ) {}

  /**
   * @param operators - number of operators
   * @param seconds - how long they work
   */
  async run(operators: number, seconds: number): Promise<void> {
    const endAt = Date.now() + seconds * 1000;
    const work = Array.from({ length: operators }, () => this.operate(endAt));
    await Promise.all(work);
  }

  private async operate(endAt: number): Promise<void> {
    while (Date.now() < endAt) {
      this.changes += 1;
      await this.change(this.changes);
      await sleep(PAUSE_MS * (0.5 + this.random.next()));
    }
  }

  private async change(share: number): Promise<void> {
    const subject: ChangeSubject = { kind: 'account', value: this.account(share) };
    const changeId = randomUUID();
    if (this.cluster.naive) {
      const revision = await publishNaively(this.cluster.table.address, subject, changeId);
      if (revision !== undefined) this.accept({ revision, at: Date.now(), changeId, share });
      return;
    }
    const expected = await this.expectedRevision();
    if (expected !== undefined) await this.publish(expected, subject, changeId, share);
  }

  private async publish(
    expected: number,
    subject: ChangeSubject,
    changeId: string,
    share: number,
  ): Promise<void> {
    let mayBeMade = false;
    for (let send = 0; send < SENDS_OF_ONE_CHANGE; send += 1) {
      const { status, change } = await publish(this.entry(), expected, subject, changeId);
      if (change) {
        this.accept({ revision: change.revision, at: Date.now(), changeId, share });
        return;
      }
      if (status === 409) this.conflicts += 1;
      if (status === 409 || status === 422) return;
      // 503 says that nothing was changed by this send; a broken or ambiguous one may have been.
      if (status !== 503) mayBeMade = true;
      await sleep(PAUSE_MS);
    }
    if (mayBeMade) this.unsettled.push(changeId);
  }

  private accept(change: AcceptedChange): void {
    this.accepted.push(change);
    this.onAccepted(change);
  }

  private async expectedRevision(): Promise<number | undefined> {
    const answer = await callOperator(this.entry(), 'GET', 'configuration');
    return answer.status === 200 ? (answer.body as { revision: number }).revision : undefined;
  }

  private entry(): string {
    const { entries } = this.cluster;
    return entries[Math.floor(this.random.next() * entries.length)]!.address;
  }

  private account(share: number): Account {
    const { deployment } = this.cluster.options;
    return { ...accountOf(deployment, deployment.accounts[0]!), share };
  }
}
