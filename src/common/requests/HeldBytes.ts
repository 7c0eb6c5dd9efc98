import type { Clock } from '../time/Types.js';

/** Time by which a holder may be ahead of the minimum rate, and that a new one gets, in ms. */
const MAX_AHEAD_MS = 1000;

/** Share of the limit from which on there is pressure: holders below the minimum rate are evicted. */
const PRESSURE_SHARE = 0.5;

/** Share of the limit that bodies of running requests may take, which cannot be evicted. */
export const RUNNING_SHARE = 0.75;

/** Share of the limit that responses may take, so that bodies are read while they are held. */
const RESPONSE_SHARE = 0.6;

const MS_PER_SECOND = 1000;

/**
 * What holds bytes: bodies that are being read, bodies of requests in progress, and responses that
 * their callers have not read yet.
 */
export type HolderKind = 'reading' | 'running' | 'response';

/** Why a holder was evicted: the budget is exhausted, or it was too slow, or made no progress. */
export type EvictionReason = 'memory' | 'rate' | 'stalled';

/** Limits of {@link HeldBytes}. */
export interface HeldByteLimits {
  /** Most bytes of all holders together. */
  readonly totalBytes: number;
  /** Rate that each holder must keep while there is pressure, in bytes a second. */
  readonly minBytesPerS: number;
}

/** Bytes of one holder; released by its owner. */
export interface Holding {
  /** Sets the bytes that are held. Holders are evicted if the total exceeds its limit. */
  resize(bytes: number): void;
  /** Records bytes that were received from the client or sent to it. */
  recordProgress(bytes: number): void;
  /**
   * Turns a body that was read into that of a running request.
   * @returns false if running requests already hold all that they may; the bytes are released then
   */
  startRunning(): boolean;
  /** Returns the bytes. */
  release(): void;
}

interface Holder {
  readonly address: string;
  readonly onEvicted: (reason: EvictionReason) => void;
  kind: HolderKind;
  bytes: number;
  /** Bytes received or sent so far, and as of the last assessment. */
  progressBytes: number;
  assessedBytes: number;
  /** Time until which the holder has kept the minimum rate, on the clock, in ms. */
  onScheduleUntil: number;
  /** Time of the assessment that last saw progress, on the clock, in ms. */
  progressAt: number;
}

/**
 * Bounds the bytes that a process holds for all clients together.
 *
 * Answers many clients that send bodies and stop short of their end, or that do not read their
 * responses: each is within its own limit, but together they would exhaust the process. Holders of
 * the client address that holds the most are evicted first, among them the one that is the furthest
 * behind the minimum rate, so that ordinary callers keep their room.
 */
export class HeldBytes {
  private readonly holders = new Set<Holder>();

  private readonly bytesByKind: Record<HolderKind, number> = {
    reading: 0,
    running: 0,
    response: 0,
  };

  private readonly runningByAddress = new Map<string, number>();

  /**
   * @param clock - time source
   * @param limits - limits of all holders
   */
  constructor(
    private readonly clock: Clock,
    private readonly limits: HeldByteLimits,
  ) {}

  /** Bytes of all holders. */
  get totalBytes(): number {
    const { reading, running, response } = this.bytesByKind;
    return reading + running + response;
  }

  /** @returns bytes of all holders of a kind */
  bytesOf(kind: HolderKind): number {
    return this.bytesByKind[kind];
  }

  /**
   * @param kind - what holds the bytes
   * @param address - address of the client
   * @param onEvicted - called with the reason when the holder has to give up its bytes; they no
   *   longer count then
   * @returns a holding without bytes
   */
  open(kind: HolderKind, address: string, onEvicted: (reason: EvictionReason) => void): Holding {
    const now = this.clock.now();
    const holder: Holder = {
      address,
      onEvicted,
      kind,
      bytes: 0,
      progressBytes: 0,
      assessedBytes: 0,
      onScheduleUntil: now + MAX_AHEAD_MS,
      progressAt: now,
    };
    this.holders.add(holder);
    return {
      resize: (bytes) => this.resize(holder, bytes),
      recordProgress: (bytes) => {
        holder.progressBytes += bytes;
      },
      startRunning: () => this.startRunning(holder),
      release: () => this.remove(holder),
    };
  }

  /**
   * Evicts holders without any progress for a time and, under pressure, those below the minimum rate.
   * @param stallMs - time within which each holder must make progress, in ms
   */
  evictSlow(stallMs: number): void {
    const now = this.clock.now();
    const hasPressure = this.totalBytes > this.limits.totalBytes * PRESSURE_SHARE;
    [...this.holders].filter(isEvictable).forEach((holder) => {
      this.assess(holder, now);
      if (now - holder.progressAt >= stallMs) this.evict(holder, 'stalled');
      else if (hasPressure && holder.onScheduleUntil < now) this.evict(holder, 'rate');
    });
  }

  private resize(holder: Holder, bytes: number): void {
    if (!this.holders.has(holder)) return;
    this.add(holder, bytes - holder.bytes);
    const { totalBytes } = this.limits;
    const isOver = () => this.totalBytes > totalBytes;
    const isResponseOver = () => this.bytesByKind.response > totalBytes * RESPONSE_SHARE;
    this.evictWhile(isResponseOver, ({ kind }) => kind === 'response');
    this.evictWhile(isOver, isEvictable);
  }

  private startRunning(holder: Holder): boolean {
    if (!this.holders.has(holder)) return false;
    const { address, bytes } = holder;
    const limit = this.limits.totalBytes * RUNNING_SHARE;
    const ofAddress = (this.runningByAddress.get(address) ?? 0) + bytes;
    const addresses = this.runningByAddress.size + (this.runningByAddress.has(address) ? 0 : 1);
    const isOverShare = ofAddress > limit / addresses;
    if (this.bytesByKind.running + bytes > limit && isOverShare) {
      this.remove(holder);
      return false;
    }
    this.add(holder, -bytes);
    Object.assign(holder, { kind: 'running' });
    this.add(holder, bytes);
    return true;
  }

  private evictWhile(isOver: () => boolean, mayEvict: (holder: Holder) => boolean): void {
    while (isOver()) {
      const victim = this.chooseVictim(mayEvict);
      if (!victim) return;
      this.evict(victim, 'memory');
    }
  }

  private chooseVictim(mayEvict: (holder: Holder) => boolean): Holder | undefined {
    const now = this.clock.now();
    const evictable = [...this.holders].filter((holder) => mayEvict(holder) && holder.bytes > 0);
    const byAddress = new Map<string, { bytes: number; count: number }>();
    evictable.forEach(({ address, bytes }) => {
      const known = byAddress.get(address) ?? { bytes: 0, count: 0 };
      byAddress.set(address, { bytes: known.bytes + bytes, count: known.count + 1 });
    });
    const [largest] = [...byAddress].sort(([, left], [, right]) => right.bytes - left.bytes);
    if (!largest) return undefined;
    const [address, { bytes, count }] = largest;
    // Holders far below the mean free little room; they are those of ordinary callers.
    const minBytes = bytes / count / 2;
    let victim: Holder | undefined;
    evictable.forEach((holder) => {
      if (holder.address !== address || holder.bytes < minBytes) return;
      this.assess(holder, now);
      if (!victim || isBehind(holder, victim)) victim = holder;
    });
    return victim;
  }

  /** Updates how far the holder is ahead of the minimum rate or behind it. */
  private assess(holder: Holder, now: number): void {
    const received = holder.progressBytes - holder.assessedBytes;
    if (received === 0) return;
    const earnedMs = (received * MS_PER_SECOND) / this.limits.minBytesPerS;
    Object.assign(holder, {
      onScheduleUntil: Math.min(holder.onScheduleUntil + earnedMs, now + MAX_AHEAD_MS),
      assessedBytes: holder.progressBytes,
      progressAt: now,
    });
  }

  private evict(holder: Holder, reason: EvictionReason): void {
    if (!this.holders.has(holder)) return;
    this.remove(holder);
    holder.onEvicted(reason);
  }

  private remove(holder: Holder): void {
    if (!this.holders.delete(holder)) return;
    this.add(holder, -holder.bytes);
  }

  private add(holder: Holder, bytes: number): void {
    const { kind, address } = holder;
    Object.assign(holder, { bytes: holder.bytes + bytes });
    this.bytesByKind[kind] += bytes;
    if (kind !== 'running') return;
    const running = (this.runningByAddress.get(address) ?? 0) + bytes;
    if (running > 0) this.runningByAddress.set(address, running);
    else this.runningByAddress.delete(address);
  }
}

function isEvictable({ kind }: Holder): boolean {
  return kind !== 'running';
}

function isBehind(left: Holder, right: Holder): boolean {
  if (left.onScheduleUntil !== right.onScheduleUntil) {
    return left.onScheduleUntil < right.onScheduleUntil;
  }
  return left.bytes > right.bytes;
}
