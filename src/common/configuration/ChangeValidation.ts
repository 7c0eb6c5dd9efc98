/** Checks of a change against the configuration that it is to be applied to. */
import type {
  Account,
  ChangeSubject,
  ConfigurationSnapshot,
  Template,
} from '../protocol/Configuration.js';

/** One fault of a change: path of the field within the subject and what was expected. */
export interface ChangeProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

type Checks = {
  readonly [K in ChangeSubject['kind']]: (
    snapshot: ConfigurationSnapshot,
    subject: Extract<ChangeSubject, { kind: K }>,
  ) => ChangeProblem[];
};

const CHECKS: Checks = {
  template: (snapshot, subject) => [
    ...unknownReferences(subject.value),
    ...removedStagesInUse(snapshot, subject.value),
  ],
  account: (snapshot, subject) => [
    ...tokenInUse(snapshot, subject.value),
    ...unknownEntitlements(snapshot, subject.value),
  ],
  server: () => [],
  'template-retired': (snapshot, subject) =>
    snapshot.templates.has(subject.name) ? [] : [notPublished('template', subject.name)],
  'account-retired': (snapshot, subject) =>
    snapshot.accounts.has(subject.name) ? [] : [notPublished('account', subject.name)],
};

/**
 * Finds faults that the schema alone does not show.
 * @param snapshot - configuration in force
 * @param subject - what is to be published or retired
 * @returns faults; empty if the change is valid
 */
export function validateChange(
  snapshot: ConfigurationSnapshot,
  subject: ChangeSubject,
): ChangeProblem[] {
  const check = CHECKS[subject.kind] as (
    snapshot: ConfigurationSnapshot,
    subject: ChangeSubject,
  ) => ChangeProblem[];
  return check(snapshot, subject);
}

function notPublished(kind: string, name: string): ChangeProblem {
  return { path: ['name'], message: `${kind} "${name}" is not published` };
}

/** A reference to a later or unknown stage could never be resolved. */
function unknownReferences(template: Template): ChangeProblem[] {
  const problems: ChangeProblem[] = [];
  const known = new Set(['request']);
  template.stages.forEach((stage, position) => {
    for (const [field, value] of Object.entries(stage.input)) {
      if (typeof value !== 'string' || !value.startsWith('$')) continue;
      const source = value.slice(1).split('.')[0]!;
      if (known.has(source)) continue;
      problems.push({
        path: ['stages', position, 'input', field],
        message: `expected a reference to the request or to an earlier stage, found "${value}"`,
      });
    }
    known.add(stage.name);
  });
  return problems;
}

function removedStagesInUse(snapshot: ConfigurationSnapshot, template: Template): ChangeProblem[] {
  const names = new Set(template.stages.map((stage) => stage.name));
  const problems: ChangeProblem[] = [];
  for (const account of snapshot.accounts.values()) {
    const used = account.templates[template.name]?.stages ?? [];
    const removed = used.filter((name) => !names.has(name));
    for (const name of removed) {
      problems.push({
        path: ['stages'],
        message: `account "${account.id}" uses stage "${name}", which the template no longer has`,
      });
    }
  }
  return problems;
}

function tokenInUse(snapshot: ConfigurationSnapshot, account: Account): ChangeProblem[] {
  const other = snapshot.accountsByToken.get(account.tokenDigest);
  if (!other || other.id === account.id) return [];
  return [{ path: ['tokenDigest'], message: `the token is in use by account "${other.id}"` }];
}

function unknownEntitlements(snapshot: ConfigurationSnapshot, account: Account): ChangeProblem[] {
  return Object.entries(account.templates).flatMap(([name, entitlement]) => {
    const template = snapshot.templates.get(name);
    if (!template) {
      return [{ path: ['templates', name], message: `template "${name}" is not published` }];
    }
    const names = new Set(template.stages.map((stage) => stage.name));
    return (entitlement.stages ?? []).flatMap((stage, position) =>
      names.has(stage)
        ? []
        : [
            {
              path: ['templates', name, 'stages', position],
              message: `template "${name}" has no stage "${stage}"`,
            },
          ],
    );
  });
}
