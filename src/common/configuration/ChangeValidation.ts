/** Validates a change against the configuration to which it will be applied. */
import type {
  Account,
  ChangeSubject,
  ConfigurationSnapshot,
  Template,
} from '../protocol/Configuration.js';

/** A validation error: path of the field within the change's subject, and what was expected. */
export interface ChangeProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

type Validators = {
  readonly [K in ChangeSubject['kind']]: (
    snapshot: ConfigurationSnapshot,
    subject: Extract<ChangeSubject, { kind: K }>,
  ) => ChangeProblem[];
};

const VALIDATORS: Validators = {
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
 * Finds errors that depend on the rest of the configuration or on other fields, which the schema
 * cannot express.
 * @param snapshot - configuration in force
 * @param subject - template, account or server to publish or retire
 * @returns errors; empty if the change is valid
 */
export function validateChange(
  snapshot: ConfigurationSnapshot,
  subject: ChangeSubject,
): ChangeProblem[] {
  const check = VALIDATORS[subject.kind] as (
    snapshot: ConfigurationSnapshot,
    subject: ChangeSubject,
  ) => ChangeProblem[];
  return check(snapshot, subject);
}

function notPublished(kind: string, name: string): ChangeProblem {
  return { path: ['name'], message: `${kind} "${name}" is not published` };
}

/** Finds references to later or unknown stages, which could never be resolved. */
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

/** Finds stages that the new version of a template removes while accounts still use them. */
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

/** Finds templates and stages that the account may use but that are not published. */
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
