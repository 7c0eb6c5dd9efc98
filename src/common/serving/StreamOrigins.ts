import { z } from 'zod';
import { sha256 } from '../Digest.js';
import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';

/** Software version of a service whose server began a stream. */
export const StreamOrigin = z.object({
  service: z.string().max(200),
  version: z.string().max(64),
});
export type StreamOrigin = z.infer<typeof StreamOrigin>;

/** Most streams in one message. */
const MAX_GROUP_STREAMS = 2000;

/**
 * Identifies a stream in heartbeats and rows of the store, which have to hold hundreds: the caller's
 * attempt that brought its first event, or a digest of a long one.
 */
const StreamId = z.string().regex(/^[\x21\x23-\x5b\x5d-\x7e]{1,64}$/);

/** Streams that began at the same version, by id. */
export const StreamGroup = StreamOrigin.extend({
  attemptIds: z.array(StreamId).max(MAX_GROUP_STREAMS),
});
export type StreamGroup = z.infer<typeof StreamGroup>;

/** Most streams that are remembered; the oldest go first. */
const MAX_STREAMS = 20_000;

/** Most streams of this process that are told to the peers. */
const MAX_RECENT_STREAMS = 1000;

interface KnownStream {
  readonly origin: StreamOrigin;
  /** When it began here, or was first heard of; on the clock, in ms. */
  readonly since: number;
}

interface RecentStream {
  readonly id: string;
  readonly since: number;
}

/**
 * Remembers at which software version each resumable stream began, so that it goes on there only.
 *
 * A stream is recorded with its first event, after which its version cannot change, so a record never
 * replaces another one. Answers releases in which several versions of a service serve side by side
 * while servers crash, processes restart or lose touch, and callers take up their streams at any
 * process.
 */
export class StreamOrigins {
  /** By stream id, oldest first. */
  private readonly streams = new Map<string, KnownStream>();

  /** Streams of this process, oldest first. */
  private recent: RecentStream[] = [];

  private readonly heardEmitter = new Emitter<string>();

  /** Fired with the id of each stream that this process begins or first hears of from a peer. */
  readonly onHeard = this.heardEmitter.event;

  /**
   * @param clock - time source
   * @param lifetimeMs - returns the longest time from the begin of a stream until it is taken up, in ms
   */
  constructor(
    private readonly clock: Clock,
    private readonly lifetimeMs: () => number,
  ) {}

  /** Number of streams that are remembered. */
  get size(): number {
    return this.streams.size;
  }

  /**
   * Records that a stream of this process has begun.
   * @param attemptId - caller's attempt that brought the first event
   * @param origin - version of the server that sent it
   */
  begin(attemptId: string, origin: StreamOrigin): void {
    const id = streamIdOf(attemptId);
    if (!this.remember(id, origin)) return;
    this.recent.push({ id, since: this.clock.now() });
    if (this.recent.length > MAX_RECENT_STREAMS) this.recent.shift();
    this.heardEmitter.fire(id);
  }

  /** Records streams that a peer has begun. */
  learn(groups: readonly StreamGroup[]): void {
    this.add(groups).forEach((id) => this.heardEmitter.fire(id));
  }

  /** Records streams that the store holds. */
  restore(groups: readonly StreamGroup[]): void {
    this.add(groups);
  }

  /** @returns where the stream of the caller's attempt began; undefined if this is unknown */
  find(attemptId: string): StreamOrigin | undefined {
    return this.streams.get(streamIdOf(attemptId))?.origin;
  }

  /**
   * @param maxAgeMs - age up to which streams are listed, in ms
   * @param limit - most streams
   * @returns the newest streams of this process
   */
  ownGroups(maxAgeMs: number, limit: number): StreamGroup[] {
    const oldest = this.clock.now() - maxAgeMs;
    this.recent = this.recent.filter(({ since }) => since >= oldest);
    return this.groupsOf(this.recent.slice(-limit).map(({ id }) => id));
  }

  /** @returns the known ones of the streams, by version */
  groupsOf(streamIds: readonly string[]): StreamGroup[] {
    const groups = new Map<string, { origin: StreamOrigin; attemptIds: string[] }>();
    streamIds.forEach((id) => {
      const origin = this.streams.get(id)?.origin;
      if (!origin) return;
      const key = JSON.stringify([origin.service, origin.version]);
      const group = groups.get(key) ?? { origin, attemptIds: [] };
      groups.set(key, group);
      group.attemptIds.push(id);
    });
    return [...groups.values()].map(({ origin, attemptIds }) => ({ ...origin, attemptIds }));
  }

  /** @returns ids of the streams that were unknown */
  private add(groups: readonly StreamGroup[]): string[] {
    return groups.flatMap(({ attemptIds, service, version }) => {
      const origin = { service, version };
      return attemptIds.filter((id) => this.remember(id, origin));
    });
  }

  /** @returns whether the stream was unknown; the record of a known one stays */
  private remember(id: string, origin: StreamOrigin): boolean {
    if (this.streams.has(id)) return false;
    const since = this.clock.now();
    this.streams.set(id, { origin, since });
    const oldest = since - this.lifetimeMs();
    for (const [oldId, stream] of this.streams) {
      if (stream.since >= oldest && this.streams.size <= MAX_STREAMS) break;
      this.streams.delete(oldId);
    }
    return true;
  }
}

/** @returns id of the stream whose first event the caller's attempt brought */
function streamIdOf(attemptId: string): string {
  return StreamId.safeParse(attemptId).success ? attemptId : sha256(attemptId);
}
