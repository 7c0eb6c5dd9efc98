/** First content of the configuration, written straight to the table service before entries start. */
import { sha256 } from '../../common/Digest.js';
import {
  CONFIGURATION_HEAD_KEY,
  CONFIGURATION_TABLE,
  changeKey,
  type Account,
  type Change,
  type ChangeSubject,
} from '../../common/protocol/Configuration.js';
import { commit } from '../client/TableReader.js';
import type { AccountDescription, Deployment } from '../deployment/Types.js';

/**
 * @param deployment - deployment whose templates the account may use
 * @param description - account
 * @returns account as the configuration holds it, entitled to all templates
 */
export function accountOf(deployment: Deployment, description: AccountDescription): Account {
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
 * @param deployment - deployment to configure
 * @returns templates and accounts as changes from revision 1
 */
export function seedChanges(deployment: Deployment): Change[] {
  const templates = deployment.traffic.map(({ template }): ChangeSubject => ({
    kind: 'template',
    value: template,
  }));
  const accounts = deployment.accounts.map((account): ChangeSubject => ({
    kind: 'account',
    value: accountOf(deployment, account),
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
 * Writes the first configuration in one transaction.
 * @param tableAddress - `ip:port` of the table service
 * @param deployment - deployment to configure
 * @returns revision in force afterwards
 * @throws Error if the table service refuses the transaction
 */
export async function writeSeed(tableAddress: string, deployment: Deployment): Promise<number> {
  const changes = seedChanges(deployment);
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
  if (!(await commit(tableAddress, { checks, writes }))) {
    throw new Error('the table service refused the first configuration');
  }
  return changes.length;
}
