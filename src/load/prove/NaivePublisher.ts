/** Publishes configuration changes without version checks: the last writer wins. */
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_TABLE,
  changeKey,
  type ChangeSubject,
} from '../../common/protocol/Configuration.js';
import { commitTransaction, scanTable } from '../client/TableClient.js';

/**
 * Reads the newest revision and writes the next one without checking for concurrent changes.
 * @param address - `ip:port` of the table service
 * @param subject - subject of the change
 * @param changeId - id of the change
 * @returns revision of the change, or undefined if reading or writing failed
 */
export async function publishNaively(
  address: string,
  subject: ChangeSubject,
  changeId: string,
): Promise<number | undefined> {
  try {
    const rows = await scanTable(address, CONFIGURATION_TABLE, 'change/');
    const revision = rows.length + 1;
    const change = { revision, changeId, author: 'naive', at: Date.now(), subject };
    const table = CONFIGURATION_TABLE;
    const writes = [
      { table, key: CONFIGURATION_HEAD_KEY, value: { revision } },
      { table, key: changeKey(revision), value: change },
    ];
    return (await commitTransaction(address, { checks: [], writes })) ? revision : undefined;
  } catch {
    return undefined;
  }
}
