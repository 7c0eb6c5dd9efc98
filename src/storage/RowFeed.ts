/** Rows of the store's tables as bytes, with a feed of changes. */
import type { CallOptions, PlatformResult } from './Types.js';

/** A row of a table without parts. `value` is missing if the row was removed. */
export interface FeedRow {
  readonly key: string;
  readonly value?: Buffer;
}

/** Rows of a table as of one version. */
export interface FeedPage {
  readonly rows: readonly FeedRow[];
  /** Version to go on from. */
  readonly version: number;
}

/** Changes, or word that the store no longer knows them all. */
export type FeedChanges =
  { readonly kind: 'changes'; readonly page: FeedPage } | { readonly kind: 'history-lost' };

/** Options of {@link RowFeed.changes}. */
export interface FeedOptions extends CallOptions {
  /** Time that the store waits for a change, in ms. */
  readonly waitMs: number;
}

/** The store as far as the serving processes use it. */
export interface RowFeed {
  /** Reads all rows of a table. */
  readAll(table: string, options: CallOptions): Promise<PlatformResult<FeedPage>>;
  /** Waits for rows that changed after a version. */
  changes(table: string, after: number, options: FeedOptions): Promise<PlatformResult<FeedChanges>>;
  /** Writes a row without a condition, or removes it. */
  write(
    table: string,
    key: string,
    value: Buffer | undefined,
    options: CallOptions,
  ): Promise<PlatformResult<void>>;
  /** Ends calls in progress. */
  close(): Promise<void>;
}
