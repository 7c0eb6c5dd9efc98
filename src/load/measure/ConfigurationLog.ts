/** Writes long configuration logs directly to the table service. */
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_TABLE,
  Account,
  Template,
  changeKey,
  type Change,
  type ChangeSubject,
} from '../../common/protocol/Configuration.js';
import { sha256 } from '../../common/Digest.js';
import { commitTransaction, scanTable } from '../client/TableClient.js';

/** Maximum number of changes in one transaction. */
const BATCH_ROWS = 500;

/**
 * Creates the subject of a change that publishes an account.
 * @param name - name of the account
 * @param templates - names of the templates that the account may use
 * @returns subject of the change
 */
export function accountSubject(name: string, templates: readonly string[]): ChangeSubject {
  const entitlements = templates.map((template) => [template, { deadlineMs: 6000 }] as const);
  return {
    kind: 'account',
    value: Account.parse({
      id: name,
      tokenDigest: sha256(name),
      templates: Object.fromEntries(entitlements),
    }),
  };
}

/**
 * Creates the subject of a change that publishes a template of plain calls.
 * @param name - name of the template
 * @param stages - number of stages
 * @returns subject of the change
 */
export function templateSubject(name: string, stages: number): ChangeSubject {
  const list = Array.from({ length: stages }, (_unused, position) => ({
    name: `stage-${position}`,
    kind: 'call',
    pool: 'desk',
    operation: 'orders',
    input: { body: '$request.details', note: `literal text of stage ${position}` },
  }));
  return { kind: 'template', value: Template.parse({ name, stages: list }) };
}

/**
 * Appends changes to the configuration log in batches.
 * @param tableAddress - `ip:port` of the table service
 * @param subjects - subjects of the changes, in order
 * @returns revision after the last change
 * @throws Error if the table service refuses a transaction, such as after a concurrent change
 */
export async function appendChanges(
  tableAddress: string,
  subjects: readonly ChangeSubject[],
): Promise<number> {
  let [head] = await scanTable(tableAddress, CONFIGURATION_TABLE, CONFIGURATION_HEAD_KEY);
  let { revision } = (head?.value as { revision: number } | undefined) ?? { revision: 0 };
  for (let first = 0; first < subjects.length; first += BATCH_ROWS) {
    const changes = changesAfter(revision, subjects.slice(first, first + BATCH_ROWS));
    revision += changes.length;
    const address = { table: CONFIGURATION_TABLE, key: CONFIGURATION_HEAD_KEY };
    const writes = [
      { ...address, value: { revision } },
      ...changes.map((change) => ({
        table: CONFIGURATION_TABLE,
        key: changeKey(change.revision),
        value: change,
      })),
    ];
    const checks = [{ ...address, version: head?.version ?? 0 }];
    if (!(await commitTransaction(tableAddress, { checks, writes }))) {
      throw new Error(`table service refused to commit changes up to revision ${revision}`);
    }
    head = { key: CONFIGURATION_HEAD_KEY, version: (head?.version ?? 0) + 1, value: null };
  }
  return revision;
}

function changesAfter(after: number, subjects: readonly ChangeSubject[]): Change[] {
  return subjects.map((subject, position) => ({
    revision: after + position + 1,
    changeId: `measured-${after + position + 1}`,
    author: 'measure',
    at: Date.now(),
    subject,
  }));
}
