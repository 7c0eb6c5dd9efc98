import { z } from 'zod';
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
 * Attempt ids of streams that are remembered. Callers choose them, and heartbeats and rows of the store
 * have to hold hundreds.
 */
const StreamId = z.string().regex(/^[\x21\x23-\x5b\x5d-\x7e]{1,64}$/);

/** Streams that began at the same version, by the caller's attempt that brought the first event. */
export const StreamGroup = StreamOrigin.extend({
  attemptIds: z.array(StreamId).max(MAX_GROUP_STREAMS),
});
export type StreamGroup = z.infer<typeof StreamGroup>;

/** Most streams that are remembered; the oldest go first. */
const MAX_STREAMS = 20_000;

interface KnownStream {
  readonly origin: StreamOrigin;
  /** When it began here, or when another process was heard of it; on the clock, in ms. */
  readonly since: number;
  readonly isOwn: boolean;
}

/**
 * Remembers at which software version each resumable stream began, so that it goes on there only.
 *
 * Answers releases in which several versions of a service serve side by side while servers crash and
 * callers take up their streams at any process.
 */
export class StreamOrigins {
  /** By attempt id, oldest first. */
  private readonly streams = new Map<string, KnownStream>();

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

  /** Records that this process sends a request whose stream begins or goes on at a version. */
  begin(attemptId: string, origin: StreamOrigin): void {
    this.remember(attemptId, origin, true);
  }

  /** Records streams of other processes, or those that the store holds. */
  learn(groups: readonly StreamGroup[]): void {
    groups.forEach(({ attemptIds, service, version }) =>
      attemptIds.forEach((id) => {
        // What this process knows of its own streams is newer than what it has told.
        if (!this.streams.get(id)?.isOwn) this.remember(id, { service, version }, false);
      }),
    );
  }

  /** @returns where the stream began; undefined if this is unknown */
  find(attemptId: string): StreamOrigin | undefined {
    return this.streams.get(attemptId)?.origin;
  }

  /** Streams of this process. */
  get ownIds(): readonly string[] {
    return [...this.streams].filter(([, { isOwn }]) => isOwn).map(([id]) => id);
  }

  /**
   * @param maxAgeMs - age up to which streams are listed, in ms
   * @param limit - most streams
   * @returns the newest streams of this process
   */
  ownGroups(maxAgeMs: number, limit: number): StreamGroup[] {
    const oldest = this.clock.now() - maxAgeMs;
    const ids = [...this.streams]
      .filter(([, { isOwn, since }]) => isOwn && since >= oldest)
      .slice(-limit)
      .map(([attemptId]) => attemptId);
    return this.groupsOf(ids);
  }

  /** @returns the known ones of the streams, by version */
  groupsOf(attemptIds: readonly string[]): StreamGroup[] {
    const groups = new Map<string, { origin: StreamOrigin; attemptIds: string[] }>();
    attemptIds.forEach((id) => {
      const origin = this.find(id);
      if (!origin) return;
      const key = JSON.stringify([origin.service, origin.version]);
      const group = groups.get(key) ?? { origin, attemptIds: [] };
      groups.set(key, group);
      group.attemptIds.push(id);
    });
    return [...groups.values()].map(({ origin, attemptIds: ids }) => ({
      ...origin,
      attemptIds: ids,
    }));
  }

  private remember(attemptId: string, origin: StreamOrigin, isOwn: boolean): void {
    if (!StreamId.safeParse(attemptId).success) return;
    this.streams.delete(attemptId);
    const since = this.clock.now();
    this.streams.set(attemptId, { origin, since, isOwn });
    const oldest = since - this.lifetimeMs();
    for (const [id, stream] of this.streams) {
      if (stream.since >= oldest && this.streams.size <= MAX_STREAMS) return;
      this.streams.delete(id);
    }
  }
}
