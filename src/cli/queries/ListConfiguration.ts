/** Commands that list templates, accounts and servers and show the revision in force. */
import { ConfigurationReply } from '../../common/protocol/Operator.js';
import { formatTable, type Cell } from '../Table.js';
import type { CliContext, CliResult } from '../Types.js';

/** Parts of the configuration that can be listed. */
export type ListingKind = 'template' | 'account' | 'server' | 'revision';

const LIST_FORMATTERS: Readonly<
  Record<ListingKind, (configuration: ConfigurationReply) => string[]>
> = {
  template: ({ templates }) =>
    formatTable(
      ['TEMPLATE', 'STAGES'],
      templates.map(({ name, stages }) => [name, stages.map((stage) => stage.name).join(' > ')]),
    ),
  account: ({ accounts }) =>
    formatTable(
      ['ACCOUNT', 'PRIORITY', 'SHARE', 'TEMPLATE', 'DEADLINE MS', 'STAGES'],
      accounts.flatMap(({ id, priority, share, templates }) =>
        Object.entries(templates).map(([name, { deadlineMs, stages }]): Cell[] => [
          id,
          priority,
          share,
          name,
          deadlineMs,
          stages?.join(' ') ?? 'all',
        ]),
      ),
    ),
  server: ({ servers }) =>
    formatTable(
      ['SERVER', 'STATE'],
      servers.map(({ id, draining }) => [id, draining ? 'draining' : 'in use']),
    ),
  revision: ({ revision, confirmedAgeMs }) => [
    confirmedAgeMs === null
      ? `${revision} (not confirmed by the store)`
      : `${revision} (confirmed ${Math.round(confirmedAgeMs)} ms ago)`,
  ],
};

const JSON_FIELDS: Readonly<Record<ListingKind, (configuration: ConfigurationReply) => unknown>> = {
  template: ({ revision, templates }) => ({ revision, templates }),
  account: ({ revision, accounts }) => ({ revision, accounts }),
  server: ({ revision, servers }) => ({ revision, servers }),
  revision: ({ revision, confirmedAgeMs }) => ({ revision, confirmedAgeMs }),
};

/**
 * Fetches the configuration in force.
 * @param context - connection
 * @returns configuration of the entry that answered
 */
export async function fetchConfiguration(
  context: Pick<CliContext, 'connection'>,
): Promise<CliResult<ConfigurationReply>> {
  const result = await context.connection.call('GET', 'configuration');
  return result.ok ? { ok: true, value: ConfigurationReply.parse(result.value) } : result;
}

/**
 * Lists one part of the configuration.
 * @param context - connection and output
 * @param listing - part to list
 * @returns text for the operator
 */
export async function listConfiguration(
  context: CliContext,
  listing: ListingKind,
): Promise<CliResult<string[]>> {
  const configuration = await fetchConfiguration(context);
  if (!configuration.ok) return configuration;
  const lines = context.json
    ? [JSON.stringify(JSON_FIELDS[listing](configuration.value))]
    : LIST_FORMATTERS[listing](configuration.value);
  return { ok: true, value: lines };
}
