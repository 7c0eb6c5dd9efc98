/** Interfaces of the services that the platform provides. */
import type { Instance } from '../common/protocol/Membership.js';

/** A row of the table service. `version` increases with each write; 0 means absent. */
export interface Row {
  readonly table: string;
  readonly key: string;
  readonly version: number;
  /** JSON value; null if the row is absent. */
  readonly value: unknown;
}

/** Address of a row. */
export interface RowAddress {
  readonly table: string;
  readonly key: string;
}

/** Condition of a transaction: the row has this version (0: the row is absent). */
export interface RowCheck extends RowAddress {
  readonly version: number;
}

/** Write of a transaction; null deletes the row. */
export interface RowWrite extends RowAddress {
  readonly value: unknown;
}

/**
 * Errors of the platform layer.
 * - `conflict`: a check failed, nothing was written; `current` is the row whose version differs.
 * - `unavailable`: nothing was written or read.
 * - `ambiguous`: the answer was lost or late; a write may have taken effect.
 */
export type PlatformError =
  | { readonly kind: 'conflict'; readonly current: Row }
  | { readonly kind: 'unavailable'; readonly message: string }
  | { readonly kind: 'ambiguous'; readonly message: string };

/** Outcome of a platform call: a value or a tagged error. Platform clients do not reject. */
export type PlatformResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: PlatformError };

/** Options of a call. */
export interface CallOptions {
  /** Time after which the call returns `ambiguous` (writes) or `unavailable` (reads), in ms. */
  readonly timeoutMs: number;
  /**
   * Longest time between two parts of the body, in ms. Takes the place of {@link timeoutMs} once the
   * body has begun; absent if the time-out covers the whole response.
   */
  readonly stallTimeoutMs?: number;
  /** Ends the call early, like a time-out. */
  readonly signal?: AbortSignal;
}

/** The platform's transactional table service. */
export interface TableStore {
  /** Reads rows; absent rows have version 0 and value null. */
  read(rows: readonly RowAddress[], options: CallOptions): Promise<PlatformResult<Row[]>>;
  /** Reads rows of a table whose key starts with `prefix`, in byte order, after key `after`. */
  scan(
    range: { table: string; prefix: string; after?: string; limit: number },
    options: CallOptions,
  ): Promise<PlatformResult<Row[]>>;
  /** Applies all writes if all checks hold, else none. Returns the new rows. */
  transaction(
    request: { checks: readonly RowCheck[]; writes: readonly RowWrite[] },
    options: CallOptions,
  ): Promise<PlatformResult<Row[]>>;
}

/** The platform's object store. */
export interface ObjectStore {
  put(key: string, body: string, options: CallOptions): Promise<PlatformResult<void>>;
  /** @returns the body, or null if there is no such object. */
  get(key: string, options: CallOptions): Promise<PlatformResult<string | null>>;
}

/** The platform's eventually consistent list of instances. */
export interface MembershipList {
  /** @returns instances; the same array as the previous call if the list is unchanged */
  list(options: CallOptions): Promise<PlatformResult<Instance[]>>;
}
