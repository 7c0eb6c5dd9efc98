/** Condensed configuration log in the table service: the last change of every subject. */
import { z } from 'zod';
import { CONFIGURATION_TABLE, Change } from '../common/protocol/Configuration.js';
import type { PlatformResult, Row, RowAddress, TableStore } from '../storage/Types.js';

/** Names the rows of the newest condensed log. */
const POINTER_ADDRESS = { table: CONFIGURATION_TABLE, key: 'condensed' };

/** Length of the JSON text of one row, in characters. At the design size the log takes 6 rows. */
const ROW_LENGTH = 48_000;

const REVISION_DIGITS = 12;

const Pointer = z.object({
  /** Revision that the condensed log leads to. */
  revision: z.number().int().positive(),
  rows: z.number().int().positive(),
});
type Pointer = z.infer<typeof Pointer>;

const Changes = z.array(Change).min(1);

/** Row that names the newest condensed log, and its version. */
export interface CondensedHead {
  /** 0 if there is no condensed log yet. */
  readonly revision: number;
  readonly version: number;
  readonly rows: number;
}

/**
 * @param store - table service
 * @param timeoutMs - time-out in milliseconds
 * @returns where the newest condensed log is
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
 * @returns changes that lead from revision 0 to that of the last one; null if there are none or a
 * stale read lacks some, and then the log itself has to be read
 */
export async function readCondensed(
  store: TableStore,
  timeoutMs: number,
): Promise<PlatformResult<Change[] | null>> {
  const head = await readCondensedHead(store, timeoutMs);
  if (!head.ok) return head;
  if (head.value.revision === 0) return { ok: true, value: null };
  const result = await store.read(addressesOf(head.value), { timeoutMs });
  if (!result.ok) return result;
  return { ok: true, value: join(head.value.revision, result.value) };
}

/**
 * Writes a condensed log and removes the one before it, in one transaction.
 * @param store - table service
 * @param previous - head as read before; a race with another writer changes nothing
 * @param changes - last change of every subject, in order of revisions
 * @param timeoutMs - time-out in milliseconds
 * @returns rows written, or the error; a failure needs no repetition, because the next change writes
 */
export function writeCondensed(
  store: TableStore,
  previous: CondensedHead,
  changes: readonly Change[],
  timeoutMs: number,
): Promise<PlatformResult<Row[]>> {
  const parts = split(changes);
  const pointer: Pointer = { revision: changes.at(-1)!.revision, rows: parts.length };
  const removed = addressesOf(previous).map((address) => ({ ...address, value: null }));
  const added = addressesOf(pointer).map((address, position) => ({
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

function addressesOf({ revision, rows }: Pointer): RowAddress[] {
  const prefix = `condensed/${String(revision).padStart(REVISION_DIGITS, '0')}`;
  return Array.from({ length: rows }, (_unused, position) => ({
    table: CONFIGURATION_TABLE,
    key: `${prefix}/${position}`,
  }));
}

function join(revision: number, rows: readonly Row[]): Change[] | null {
  const parts = rows.map((row) => Changes.safeParse(row.value));
  if (!parts.every((part) => part.success)) return null;
  const changes = parts.flatMap((part) => part.data);
  return changes.at(-1)?.revision === revision ? changes : null;
}

function split(changes: readonly Change[]): Change[][] {
  const parts: Change[][] = [];
  let length = Infinity;
  for (const change of changes) {
    const added = JSON.stringify(change).length;
    if (length + added > ROW_LENGTH) {
      parts.push([]);
      length = 0;
    }
    parts.at(-1)!.push(change);
    length += added;
  }
  return parts;
}
