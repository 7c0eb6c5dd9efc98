/** Initial configuration, written directly to the table service before the entries start. */
import { sha256 } from '../../common/Digest.js';
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_TABLE,
  changeKey,
  type Account,
  type Change,
  type ChangeSubject,
} from '../../common/protocol/Configuration.js';
import { commitTransaction } from '../client/TableClient.js';
import type { AccountDescription, Deployment } from '../deployment/Types.js';

/**
 * Converts an account description to its configuration value.
 * @param deployment - deployment whose templates the account may use
 * @param description - description of the account
 * @returns the account, entitled to all templates of the deployment
 */
export function createAccount(deployment: Deployment, description: AccountDescription): Account {
  const entitlements = deployment.traffic.map(
    ({ template, deadlineMs }) => [template.name, { deadlineMs }] as const,
  );
  return {
    id: description.id,
    tokenDigest: sha256(description.token),
    priority: description.priority,
    share: description.share,
    templates: Object.fromEntries(entitlements),
  };
}

/**
 * Lists the changes of the initial configuration.
 * @param deployment - deployment to configure
 * @returns templates, then accounts, as changes from revision 1 on
 */
export function initialChanges(deployment: Deployment): Change[] {
  const templates = deployment.traffic.map(({ template }): ChangeSubject => ({
    kind: 'template',
    value: template,
  }));
  const accounts = deployment.accounts.map((account): ChangeSubject => ({
    kind: 'account',
    value: createAccount(deployment, account),
  }));
  return [...templates, ...accounts].map((subject, position) => ({
    revision: position + 1,
    changeId: `seed-${position + 1}`,
    author: 'launcher',
    at: Date.now(),
    subject,
  }));
}

/**
 * Writes the initial configuration in one transaction.
 * @param tableAddress - `ip:port` of the table service
 * @param deployment - deployment to configure
 * @returns revision of the written configuration
 * @throws Error if the table service refuses the transaction, for example because there is a configuration already
 */
export async function writeInitialConfiguration(
  tableAddress: string,
  deployment: Deployment,
): Promise<number> {
  const changes = initialChanges(deployment);
  const head = { table: CONFIGURATION_TABLE, key: CONFIGURATION_HEAD_KEY };
  const writes = [
    { ...head, value: { revision: changes.length } },
    ...changes.map((change) => ({
      table: CONFIGURATION_TABLE,
      key: changeKey(change.revision),
      value: change,
    })),
  ];
  const checks = [{ ...head, version: 0 }];
  if (!(await commitTransaction(tableAddress, { checks, writes }))) {
    throw new Error(`the table service at ${tableAddress} refused the initial configuration`);
  }
  return changes.length;
}
