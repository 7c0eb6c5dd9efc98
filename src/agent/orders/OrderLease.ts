import type { Clock } from '../../common/time/Types.js';
import type { Row, TableStore } from '../../storage/Types.js';
import { LEASE_TABLE, Lease } from './Lease.js';

/** Timeout of one call to the table service. */
const CALL_TIMEOUT_MS = 1000;

/** Options of {@link OrderLease}. */
export interface OrderLeaseOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly agentId: string;
  readonly incarnation: string;
  /** Backend server that the lease is for. */
  readonly serverId: string;
  readonly ttlMs: number;
  /**
   * Time, in ms, that a take-over waits after the previous holder's lease has expired, so that no
   * order of the previous holder can arrive any more. 0 if the engine rejects old fencing numbers.
   */
  readonly orderTimeoutMs: number;
}

/** Version of the lease of another holder and when it was first observed. */
interface Observation {
  readonly version: number;
  readonly observedAt: number;
}

/**
 * Lease for sending orders to one backend server. An order is a control command of the agent to its
 * model engine: which models, adapters, version and role to serve.
 *
 * Unless the lease was released, another agent may take it over only after it has seen the row
 * unchanged for longer than the time to live. The holder counts the time to live from just before
 * it sent the write, so its lease expires earlier. It uses the monotonic clock, which also advances
 * while the process is paused: a holder that was paused for longer finds its lease expired.
 */
export class OrderLease {
  /** Row as last read or written. */
  private row: Row | null = null;

  private validUntil = Number.NEGATIVE_INFINITY;

  private observation: Observation | null = null;

  /**
   * Last write that was committed, or whose outcome is unknown because no response was received.
   */
  private lastWrite: { writeId: string; sentAt: number } | null = null;

  private writeCount = 0;

  /** @param options - store, clock, holder and times */
  constructor(private readonly options: OrderLeaseOptions) {}

  /**
   * Returns the number to send with an order. Has to be called immediately before each order.
   * @returns fencing number, or null if this agent must not send orders now
   */
  validFencing(): number | null {
    const lease = this.heldLease();
    if (!lease || this.options.clock.now() >= this.validUntil) return null;
    return lease.fencing;
  }

  /** Renews the lease, or takes it over if it has expired or was released. Never rejects. */
  async update(): Promise<void> {
    if (this.heldLease()) {
      await this.writeRow(this.heldLease()!.fencing);
      return;
    }
    await this.readRow();
    const lease = this.row && parseLease(this.row);
    if (this.heldLease() || !this.row || !this.mayTakeOver(lease)) return;
    await this.writeRow((lease?.fencing ?? 0) + 1);
  }

  /** Releases the lease; no order may be in flight. Never rejects. */
  async release(): Promise<void> {
    const lease = this.heldLease();
    this.validUntil = Number.NEGATIVE_INFINITY;
    if (lease) await this.writeRow(lease.fencing, true);
  }

  /**
   * Invalidates the lease until it is taken over again. Called when the engine has seen a higher
   * fencing number.
   */
  invalidate(): void {
    this.validUntil = Number.NEGATIVE_INFINITY;
    this.row = null;
  }

  private heldLease(): Lease | null {
    const lease = this.row && parseLease(this.row);
    const { agentId, incarnation } = this.options;
    const isHeld = lease?.agentId === agentId && lease.incarnation === incarnation;
    return lease && isHeld && !lease.released ? lease : null;
  }

  private mayTakeOver(lease: Lease | null): boolean {
    if (!lease || lease.released) return true;
    const { version } = this.row!;
    const now = this.options.clock.now();
    if (this.observation?.version !== version) this.observation = { version, observedAt: now };
    return now - this.observation.observedAt > lease.ttlMs + this.options.orderTimeoutMs;
  }

  private async readRow(): Promise<void> {
    const address = { table: LEASE_TABLE, key: this.options.serverId };
    const result = await this.options.store.read([address], { timeoutMs: CALL_TIMEOUT_MS });
    this.setRow(result.ok ? (result.value[0] ?? null) : null);
  }

  private async writeRow(fencing: number, released = false): Promise<void> {
    const { store, clock, agentId, incarnation, serverId, ttlMs } = this.options;
    this.writeCount += 1;
    const writeId = `${incarnation}/${this.writeCount}`;
    const value: Lease = { agentId, incarnation, fencing, ttlMs, writeId, released };
    const address = { table: LEASE_TABLE, key: serverId };
    const sentAt = clock.now();
    const result = await store.transaction(
      {
        checks: [{ ...address, version: this.row?.version ?? 0 }],
        writes: [{ ...address, value }],
      },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.ok) {
      this.lastWrite = { writeId, sentAt };
      this.setRow({ ...address, value, version: result.value[0]!.version });
    } else if (result.error.kind === 'conflict') {
      this.setRow(result.error.current);
    } else if (result.error.kind === 'ambiguous') {
      this.lastWrite = { writeId, sentAt };
    }
  }

  /**
   * Stores the row as the current one. Only a row that this process wrote extends the validity of
   * the lease.
   */
  private setRow(row: Row | null): void {
    this.row = row;
    const lease = this.heldLease();
    if (lease && this.lastWrite?.writeId === lease.writeId) {
      this.validUntil = Math.max(this.validUntil, this.lastWrite.sentAt + lease.ttlMs);
    }
    if (!lease) this.validUntil = Number.NEGATIVE_INFINITY;
  }
}

function parseLease(row: Row): Lease | null {
  const parsed = Lease.safeParse(row.value);
  return parsed.success ? parsed.data : null;
}
