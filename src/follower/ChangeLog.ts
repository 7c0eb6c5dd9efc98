/** Reads of the configuration log in the table service. */
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_TABLE,
  Change,
  ConfigurationHead,
  changeKey,
} from '../common/protocol/Configuration.js';
import type { PlatformResult, TableStore } from '../storage/Types.js';

/** Rows of one scan. */
export const SCAN_LIMIT = 500;

/** Address of the head row. */
export const HEAD_ADDRESS = { table: CONFIGURATION_TABLE, key: CONFIGURATION_HEAD_KEY };

/** Head of the log with the version of its row. */
export interface Head {
  readonly revision: number;
  readonly version: number;
}

/**
 * Reads the head.
 * @param store - table service
 * @param timeoutMs - time-out in milliseconds
 * @returns head; revision 0 and version 0 if nothing was ever published
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
 * Reads the change that made a revision.
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
 * @param after - revision before the first one wanted
 * @param upTo - last revision wanted
 * @param timeoutMs - time-out of one read, in milliseconds
 * @returns changes without a gap; fewer than asked for if the reads were stale
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
