/** Child process of the measurement: one entry. Reports its CPU time and memory on request. */
import { sha256 } from '../../common/Digest.js';
import { Account, Template } from '../../common/protocol/Configuration.js';
import { startEntry } from '../testing/fixtures.js';
import { TEMPLATES } from './templates.js';

/** Message from the parent process. */
export type EntryCommand =
  | { readonly type: 'start'; readonly agents: readonly { id: string; address: string }[] }
  | { readonly type: 'usage' }
  | { readonly type: 'grow'; readonly what: 'accounts' | 'templates' | 'servers'; count: number };

/** CPU time since the start of the process, and current memory. */
export interface ResourceUsage {
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

type RunningEntry = Awaited<ReturnType<typeof startEntry>>;
const MICROSECONDS_PER_MS = 1000;
let running: RunningEntry | null = null;

function usage(): ResourceUsage {
  globalThis.gc?.();
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return { cpuMs: (user + system) / MICROSECONDS_PER_MS, rssBytes: rss, heapBytes: heapUsed };
}

const ADDERS = {
  accounts: (position: number) => {
    const account = Account.parse({
      id: `account-${position}`,
      tokenDigest: sha256(`token-${position}`),
      templates: Object.fromEntries(TEMPLATES.map(({ name }) => [name, { deadlineMs: 6000 }])),
    });
    const snapshot = running!.configuration.snapshot();
    (snapshot.accounts as Map<string, Account>).set(account.id, account);
    (snapshot.accountsByToken as Map<string, Account>).set(account.tokenDigest, account);
  },
  templates: (position: number) => {
    const template = Template.parse({ ...TEMPLATES[1], name: `template-${position}` });
    const snapshot = running!.configuration.snapshot();
    (snapshot.templates as Map<string, Template>).set(template.name, template);
  },
  servers: (position: number) => running!.addServer(`server-${position}`),
} as const;

const commandHandlers = {
  start: async ({ agents }: Extract<EntryCommand, { type: 'start' }>) => {
    running = await startEntry({ agents, templates: TEMPLATES, recordsUsage: false });
    return { url: running.url };
  },
  usage: async () => usage(),
  grow: async ({ what, count }: Extract<EntryCommand, { type: 'grow' }>) => {
    const before = usage().heapBytes;
    for (let position = 0; position < count; position += 1) ADDERS[what](position);
    await running!.refreshServers();
    return { bytesEach: Math.round((usage().heapBytes - before) / count) };
  },
};

process.on('message', (command: EntryCommand) => {
  const handle = commandHandlers[command.type] as (c: EntryCommand) => Promise<unknown>;
  handle(command).then(
    (value) => process.send?.(value),
    () => process.exit(1),
  );
});
process.on('disconnect', () => process.exit(0));
