import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Account, ChangeSubject } from '../../common/protocol/Configuration.js';
import { callOperator, publish } from '../client/OperatorClient.js';
import type { Cluster } from '../launch/Cluster.js';
import { createAccount } from '../launch/InitialConfiguration.js';
import { publishNaively } from './NaivePublisher.js';
import type { AcceptedRevision } from './RevisionMonitor.js';

const PAUSE_MS = 250;
const MAX_SENDS_PER_CHANGE = 30;

/** An accepted change of the account share. */
export interface AcceptedChange extends AcceptedRevision {
  readonly changeId: string;
  readonly share: number;
}

/** Operators that concurrently change the same account through different entries. */
export class RacingOperators {
  readonly accepted: AcceptedChange[] = [];

  /** Number of sends refused because of a concurrent change. */
  conflicts = 0;

  /** Ids of changes for which no answer showed whether they were committed. */
  readonly unsettled: string[] = [];

  private changeCount = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly random: SeededRandom,
    private readonly onAccepted: (change: AcceptedRevision) => void,
  ) {}

  /**
   * Publishes changes until the time is over.
   * @param operators - number of concurrent operators
   * @param seconds - time during which new changes are started
   */
  async run(operators: number, seconds: number): Promise<void> {
    const endAt = Date.now() + seconds * 1000;
    const work = Array.from({ length: operators }, () => this.changeUntil(endAt));
    await Promise.all(work);
  }

  private async changeUntil(endAt: number): Promise<void> {
    while (Date.now() < endAt) {
      this.changeCount += 1;
      await this.change(this.changeCount);
      await sleep(PAUSE_MS * (0.5 + this.random.next()));
    }
  }

  private async change(share: number): Promise<void> {
    const subject: ChangeSubject = { kind: 'account', value: this.accountWithShare(share) };
    const changeId = randomUUID();
    if (this.cluster.isNaive) {
      const revision = await publishNaively(this.cluster.table.address, subject, changeId);
      if (revision !== undefined)
        this.recordAccepted({ revision, at: Date.now(), changeId, share });
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
    let mayBeApplied = false;
    for (let send = 0; send < MAX_SENDS_PER_CHANGE; send += 1) {
      const { status, change } = await publish(
        this.pickEntryAddress(),
        expected,
        subject,
        changeId,
      );
      if (change) {
        this.recordAccepted({ revision: change.revision, at: Date.now(), changeId, share });
        return;
      }
      if (status === 409) this.conflicts += 1;
      if (status === 409 || status === 422) return;
      // Status 503 means that this send changed nothing; after any other failure it may have.
      if (status !== 503) mayBeApplied = true;
      await sleep(PAUSE_MS);
    }
    if (mayBeApplied) this.unsettled.push(changeId);
  }

  private recordAccepted(change: AcceptedChange): void {
    this.accepted.push(change);
    this.onAccepted(change);
  }

  private async expectedRevision(): Promise<number | undefined> {
    const answer = await callOperator(this.pickEntryAddress(), 'GET', 'configuration');
    return answer.status === 200 ? (answer.body as { revision: number }).revision : undefined;
  }

  private pickEntryAddress(): string {
    const { entries } = this.cluster;
    return entries[Math.floor(this.random.next() * entries.length)]!.address;
  }

  private accountWithShare(share: number): Account {
    const { deployment } = this.cluster.options;
    return { ...createAccount(deployment, deployment.accounts[0]!), share };
  }
}
