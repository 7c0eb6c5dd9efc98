/** Byte rows of the store's tables, with a change feed. */
import type { StorePosition } from '../common/serving/StorePosition.js';
import type { CallOptions, PlatformResult } from './Types.js';

/** A row of a table that is not divided into parts; `value` is absent if the row was removed. */
export interface FeedRow {
  readonly key: string;
  readonly value?: Buffer;
  /** Version of the store at which the row was written; absent if the store does not say it. */
  readonly version?: number;
}

/** Rows of a table as of one version. */
export interface FeedPage {
  readonly rows: readonly FeedRow[];
  /** Position to pass to the next {@link RowFeed.changes}. */
  readonly position: StorePosition;
}

/**
 * Changes, or `history-lost` if the store no longer retains all changes after the version or does
 * not have the version. The changes are complete only if the store is still in the same era.
 */
export type FeedChanges =
  { readonly kind: 'changes'; readonly page: FeedPage } | { readonly kind: 'history-lost' };

/** Options of {@link RowFeed.changes}. */
export interface FeedOptions extends CallOptions {
  /** Maximum time that the store waits for a change before it responds, in ms. */
  readonly waitMs: number;
}

/** Operations of the store that the serving processes use. */
export interface RowFeed {
  /** Reads all rows of a table. */
  readAll(table: string, options: CallOptions): Promise<PlatformResult<FeedPage>>;
  /** Waits for rows that changed after a position. */
  changes(
    table: string,
    after: StorePosition,
    options: FeedOptions,
  ): Promise<PlatformResult<FeedChanges>>;
  /** Writes a row unconditionally, or removes it if `value` is undefined. */
  write(
    table: string,
    key: string,
    value: Buffer | undefined,
    options: CallOptions,
  ): Promise<PlatformResult<void>>;
  /** Closes all connections; calls in progress fail. */
  close(): Promise<void>;
}
