/** Condensed (compacted) configuration log in the table service: the last change per subject. */
import { z } from 'zod';
import { CONFIGURATION_TABLE, Change } from '../common/protocol/Configuration.js';
import type { PlatformResult, Row, RowAddress, TableStore } from '../storage/Types.js';

/** Address of the pointer row, which identifies the rows of the newest condensed log. */
const POINTER_ADDRESS = { table: CONFIGURATION_TABLE, key: 'condensed' };

/** Maximum JSON length of one row, in characters. At the design size the log takes 6 rows. */
const MAX_ROW_LENGTH = 48_000;

const REVISION_DIGITS = 12;

const Pointer = z.object({
  /** Revision reached after applying the condensed log. */
  revision: z.number().int().positive(),
  rows: z.number().int().positive(),
});
type Pointer = z.infer<typeof Pointer>;

const Changes = z.array(Change).min(1);

/** Contents and version of the pointer row of the newest condensed log. */
export interface CondensedHead {
  /** Revision reached after applying the log; 0 if there is no condensed log yet. */
  readonly revision: number;
  /** Version of the pointer row. */
  readonly version: number;
  /** Number of rows that hold the log. */
  readonly rows: number;
}

/**
 * Reads the pointer to the newest condensed log.
 * @param store - table service
 * @param timeoutMs - time-out in milliseconds
 * @returns pointer; revision 0 if there is no condensed log yet
 */
export async function readCondensedHead(
  store: TableStore,
  timeoutMs: number,
): Promise<PlatformResult<CondensedHead>> {
  const result = await store.read([POINTER_ADDRESS], { timeoutMs });
  if (!result.ok) return result;
  const row = result.value[0];
  if (!row || row.value === null) {
    return { ok: true, value: { revision: 0, rows: 0, version: row?.version ?? 0 } };
  }
  return { ok: true, value: { ...Pointer.parse(row.value), version: row.version } };
}

/**
 * Reads the newest condensed log.
 * @param store - table service
 * @param timeoutMs - time-out of one read, in milliseconds
 * @returns changes that lead from revision 0 to the revision of the last change; null if there is
 * no condensed log or a stale read lacks part of it, in which case the full log has to be read
 */
export async function readCondensed(
  store: TableStore,
  timeoutMs: number,
): Promise<PlatformResult<Change[] | null>> {
  const head = await readCondensedHead(store, timeoutMs);
  if (!head.ok) return head;
  if (head.value.revision === 0) return { ok: true, value: null };
  const result = await store.read(partAddresses(head.value), { timeoutMs });
  if (!result.ok) return result;
  return { ok: true, value: joinParts(head.value.revision, result.value) };
}

/**
 * Writes a condensed log and deletes the previous one, in one transaction.
 * @param store - table service
 * @param previous - pointer read before; if another writer has replaced it, nothing is written
 * @param changes - last change of every subject, in order of revision
 * @param timeoutMs - time-out in milliseconds
 * @returns rows written, or the error; no retry is needed, because the next change writes the log
 */
export function writeCondensed(
  store: TableStore,
  previous: CondensedHead,
  changes: readonly Change[],
  timeoutMs: number,
): Promise<PlatformResult<Row[]>> {
  const parts = splitIntoParts(changes);
  const pointer: Pointer = { revision: changes.at(-1)!.revision, rows: parts.length };
  const removed = partAddresses(previous).map((address) => ({ ...address, value: null }));
  const added = partAddresses(pointer).map((address, position) => ({
    ...address,
    value: parts[position],
  }));
  return store.transaction(
    {
      checks: [{ ...POINTER_ADDRESS, version: previous.version }],
      writes: [{ ...POINTER_ADDRESS, value: pointer }, ...removed, ...added],
    },
    { timeoutMs },
  );
}

function partAddresses({ revision, rows }: Pointer): RowAddress[] {
  const prefix = `condensed/${String(revision).padStart(REVISION_DIGITS, '0')}`;
  return Array.from({ length: rows }, (_unused, position) => ({
    table: CONFIGURATION_TABLE,
    key: `${prefix}/${position}`,
  }));
}

function joinParts(revision: number, rows: readonly Row[]): Change[] | null {
  const parts = rows.map((row) => Changes.safeParse(row.value));
  if (!parts.every((part) => part.success)) return null;
  const changes = parts.flatMap((part) => part.data);
  return changes.at(-1)?.revision === revision ? changes : null;
}

function splitIntoParts(changes: readonly Change[]): Change[][] {
  const parts: Change[][] = [];
  let length = Infinity;
  for (const change of changes) {
    const added = JSON.stringify(change).length;
    if (length + added > MAX_ROW_LENGTH) {
      parts.push([]);
      length = 0;
    }
    parts.at(-1)!.push(change);
    length += added;
  }
  return parts;
}
