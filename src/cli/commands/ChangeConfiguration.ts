/** Commands that publish, change and retire templates and accounts, and add backend servers. */
import { randomUUID } from 'node:crypto';
import { Account, Template, type ChangeSubject } from '../../common/protocol/Configuration.js';
import { ChangeReply, type ConfigurationReply } from '../../common/protocol/Operator.js';
import { readChangeFile, type ChangeFile } from '../ChangeFile.js';
import { fetchConfiguration } from '../queries/ListConfiguration.js';
import { usageError, type CliContext, type CliResult } from '../Types.js';

/** Kinds of configuration that are published from files. */
export type FileKind = 'template' | 'account';

/** `publish` requires a new name, `change` an existing one. */
export type Intent = 'publish' | 'change';

/**
 * Publishes the template or account in a file.
 * @param context - connection and output
 * @param change - kind, intent, path of the file and expected revision (default: the newest)
 * @returns text for the operator
 */
export async function publishFromFile(
  context: CliContext,
  change: { kind: FileKind; intent: Intent; file: string; expectedRevision?: number },
): Promise<CliResult<string[]>> {
  const { kind, intent, file, expectedRevision } = change;
  const subject = readSubject(kind, file);
  if (!subject.ok) return subject;
  const { name, value, describeProblems } = subject.value;
  const configuration = await fetchConfiguration(context);
  if (!configuration.ok) return configuration;
  const exists = publishedNames(configuration.value, kind).includes(name);
  if (intent === 'publish' && exists) {
    return usageError(`${kind} "${name}" is published already; use "${kind} change"`);
  }
  if (intent === 'change' && !exists) {
    return usageError(`${kind} "${name}" is not published; use "${kind} publish"`);
  }
  const expected = expectedRevision ?? configuration.value.revision;
  const result = await sendChange(context, value, expected);
  if (result.ok || result.error.kind !== 'refused') return result;
  const { error } = result.error;
  if (error.kind !== 'invalid') return result;
  return { ok: false, error: { ...result.error, messages: describeProblems(error.problems) } };
}

/**
 * Publishes a change that is given by arguments.
 * @param context - connection and output
 * @param subject - template or account to retire, or server to add
 * @param expectedRevision - revision that the change is based on; default: the newest
 * @returns text for the operator
 */
export async function publishSubject(
  context: CliContext,
  subject: ChangeSubject,
  expectedRevision?: number,
): Promise<CliResult<string[]>> {
  if (expectedRevision !== undefined) return sendChange(context, subject, expectedRevision);
  const configuration = await fetchConfiguration(context);
  if (!configuration.ok) return configuration;
  return sendChange(context, subject, configuration.value.revision);
}

interface FileSubject extends Pick<ChangeFile<unknown>, 'describeProblems'> {
  readonly name: string;
  readonly value: ChangeSubject;
}

function readSubject(kind: FileKind, file: string): CliResult<FileSubject> {
  if (kind === 'template') {
    const read = readChangeFile(file, Template);
    if (!read.ok) return read;
    const { value, describeProblems } = read.value;
    return { ok: true, value: { name: value.name, value: { kind, value }, describeProblems } };
  }
  const read = readChangeFile(file, Account);
  if (!read.ok) return read;
  const { value, describeProblems } = read.value;
  return { ok: true, value: { name: value.id, value: { kind, value }, describeProblems } };
}

function publishedNames(configuration: ConfigurationReply, kind: FileKind): string[] {
  return kind === 'template'
    ? configuration.templates.map((template) => template.name)
    : configuration.accounts.map((account) => account.id);
}

async function sendChange(
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
