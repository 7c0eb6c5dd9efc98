/** Commands that publish, change and retire templates and accounts and add servers. */
import { randomUUID } from 'node:crypto';
import { Account, Template, type ChangeSubject } from '../../common/protocol/Configuration.js';
import { ChangeReply, type ConfigurationReply } from '../../common/protocol/Operator.js';
import { readChangeFile, type ChangeFile } from '../ChangeFile.js';
import { fetchConfiguration } from '../queries/ListConfiguration.js';
import { usageError, type CliContext, type CliResult } from '../Types.js';

/** Kinds that are published from files. */
export type FileKind = 'template' | 'account';

/** Whether the name must be new or must exist. */
export type Intent = 'publish' | 'change';

/**
 * Publishes the content of a file.
 * @param context - connection and output
 * @param change - kind, whether it is new, file, expected revision
 * @returns text for the operator
 */
export async function changeFromFile(
  context: CliContext,
  change: { kind: FileKind; intent: Intent; file: string; expectedRevision?: number },
): Promise<CliResult<string[]>> {
  const { kind, intent, file, expectedRevision } = change;
  const subject = readSubject(kind, file);
  if (!subject.ok) return subject;
  const { name, value, describe } = subject.value;
  const configuration = await fetchConfiguration(context);
  if (!configuration.ok) return configuration;
  const exists = namesOf(configuration.value, kind).includes(name);
  if (intent === 'publish' && exists) {
    return usageError(`${kind} "${name}" is published already; use "${kind} change"`);
  }
  if (intent === 'change' && !exists) {
    return usageError(`${kind} "${name}" is not published; use "${kind} publish"`);
  }
  const expected = expectedRevision ?? configuration.value.revision;
  const result = await publish(context, value, expected);
  if (result.ok || result.error.kind !== 'refused') return result;
  const { error } = result.error;
  if (error.kind !== 'invalid') return result;
  return { ok: false, error: { ...result.error, messages: describe(error.problems) } };
}

/**
 * Publishes a change that needs no file.
 * @param context - connection and output
 * @param subject - what is retired or added
 * @param expectedRevision - revision that the change is made for; the newest by default
 * @returns text for the operator
 */
export async function changeSubject(
  context: CliContext,
  subject: ChangeSubject,
  expectedRevision?: number,
): Promise<CliResult<string[]>> {
  if (expectedRevision !== undefined) return publish(context, subject, expectedRevision);
  const configuration = await fetchConfiguration(context);
  if (!configuration.ok) return configuration;
  return publish(context, subject, configuration.value.revision);
}

interface Subject extends Pick<ChangeFile<unknown>, 'describe'> {
  readonly name: string;
  readonly value: ChangeSubject;
}

function readSubject(kind: FileKind, file: string): CliResult<Subject> {
  if (kind === 'template') {
    const read = readChangeFile(file, Template);
    if (!read.ok) return read;
    const { value, describe } = read.value;
    return { ok: true, value: { name: value.name, value: { kind, value }, describe } };
  }
  const read = readChangeFile(file, Account);
  if (!read.ok) return read;
  const { value, describe } = read.value;
  return { ok: true, value: { name: value.id, value: { kind, value }, describe } };
}

function namesOf(configuration: ConfigurationReply, kind: FileKind): string[] {
  return kind === 'template'
    ? configuration.templates.map((template) => template.name)
    : configuration.accounts.map((account) => account.id);
}

async function publish(
  context: CliContext,
  subject: ChangeSubject,
  expectedRevision: number,
): Promise<CliResult<string[]>> {
  const request = { expectedRevision, changeId: randomUUID(), subject };
  const result = await context.connection.call('POST', 'changes', request);
  if (!result.ok) return result;
  if (context.json) return { ok: true, value: [JSON.stringify(result.value)] };
  const { change } = ChangeReply.parse(result.value);
  return { ok: true, value: [`revision ${change.revision} published`] };
}
