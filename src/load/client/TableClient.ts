/** Direct access to the table service, for checks and for the initial configuration. */
import { request } from 'undici';

const SCAN_LIMIT = 1000;

/** A row of the table service. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/**
 * Reads all rows of a table whose keys have a given prefix, page by page.
 * @param address - `ip:port` of the table service
 * @param table - name of the table
 * @param prefix - prefix of the keys
 * @returns rows in key order
 */
export async function scanTable(
  address: string,
  table: string,
  prefix: string,
): Promise<TableRow[]> {
  const rows: TableRow[] = [];
  let page: TableRow[];
  do {
    const after = rows[rows.length - 1]?.key;
    const body = { table, prefix, limit: SCAN_LIMIT, ...(after !== undefined && { after }) };
    const answer = await post(address, '/v1/scan', body);
    page = (answer.body as { rows: TableRow[] }).rows;
    rows.push(...page);
  } while (page.length === SCAN_LIMIT);
  return rows;
}

/**
 * Sends a transaction.
 * @param address - `ip:port` of the table service
 * @param transaction - version checks and writes
 * @returns whether the transaction was committed
 */
export async function commitTransaction(
  address: string,
  transaction: { checks: unknown[]; writes: unknown[] },
): Promise<boolean> {
  return (await post(address, '/v1/transaction', transaction)).status === 200;
}

async function post(
  address: string,
  path: string,
  body: unknown,
): Promise<{ status: number; body: unknown }> {
  const response = await request(`http://${address}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  return { status: response.statusCode, body: await response.body.json() };
}
