/** Reads of the configuration log in the table service. */
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_TABLE,
  Change,
  ConfigurationHead,
  changeKey,
} from '../common/protocol/Configuration.js';
import type { PlatformResult, TableStore } from '../storage/Types.js';

/** Maximum number of rows returned by one scan. */
export const SCAN_LIMIT = 500;

/** Address of the head row, which holds the newest revision. */
export const HEAD_ADDRESS = { table: CONFIGURATION_TABLE, key: CONFIGURATION_HEAD_KEY };

/** Newest revision of the log and the version of the row that holds it. */
export interface Head {
  readonly revision: number;
  readonly version: number;
}

/**
 * Reads the head of the log.
 * @param store - table service
 * @param timeoutMs - time-out in milliseconds
 * @returns head; revision 0 and version 0 if no change has been published yet
 */
export async function readHead(
  store: TableStore,
  timeoutMs: number,
): Promise<PlatformResult<Head>> {
  const result = await store.read([HEAD_ADDRESS], { timeoutMs });
  if (!result.ok) return result;
  const row = result.value[0];
  if (!row || row.version === 0) return { ok: true, value: { revision: 0, version: 0 } };
  const { revision } = ConfigurationHead.parse(row.value);
  return { ok: true, value: { revision, version: row.version } };
}

/**
 * Reads the change that created a revision.
 * @param store - table service
 * @param revision - revision
 * @param timeoutMs - time-out in milliseconds
 * @returns change, or null if the row is absent
 */
export async function readChange(
  store: TableStore,
  revision: number,
  timeoutMs: number,
): Promise<PlatformResult<Change | null>> {
  const address = { table: CONFIGURATION_TABLE, key: changeKey(revision) };
  const result = await store.read([address], { timeoutMs });
  if (!result.ok) return result;
  const value = result.value[0]?.value ?? null;
  return { ok: true, value: value === null ? null : Change.parse(value) };
}

/**
 * Reads the changes of a range of revisions.
 * @param store - table service
 * @param after - exclusive lower bound of the revisions
 * @param upTo - inclusive upper bound of the revisions
 * @param timeoutMs - time-out of one read, in milliseconds
 * @returns consecutive changes; fewer than requested if the reads were stale
 */
export async function readChanges(
  store: TableStore,
  after: number,
  upTo: number,
  timeoutMs: number,
): Promise<PlatformResult<Change[]>> {
  const changes: Change[] = [];
  for (;;) {
    const reached = after + changes.length;
    if (reached >= upTo) return { ok: true, value: changes };
    const range = {
      table: CONFIGURATION_TABLE,
      prefix: 'change/',
      after: changeKey(reached),
      limit: SCAN_LIMIT,
    };
    const page = await store.scan(range, { timeoutMs });
    if (!page.ok) return page;
    const next = page.value
      .map((row) => Change.parse(row.value))
      .filter((change, position) => change.revision === reached + 1 + position);
    if (next.length === 0) return { ok: true, value: changes };
    changes.push(...next);
  }
}
