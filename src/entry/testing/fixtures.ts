/** Starts entries with fake platform services, for tests and measurements. */
import { setTimeout as sleep } from 'node:timers/promises';
import { sha256 } from '../../common/Digest.js';
import { Emitter } from '../../common/events/Emitter.js';
import {
  Account,
  Template,
  type ConfigurationSnapshot,
} from '../../common/protocol/Configuration.js';
import type { LedgerEntry } from '../../common/protocol/Ledger.js';
import type { Instance } from '../../common/protocol/Membership.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import type { ConfigurationSource } from '../../follower/Types.js';
import { SystemClock } from '../../storage/SystemClock.js';
import { FakeTableStore } from '../../storage/testing/FakeTableStore.js';
import { createLogger } from '../../telemetry/Logger.js';
import { createMetrics } from '../../telemetry/Metrics.js';
import { createTracing } from '../../telemetry/Tracing.js';
import { Entry } from '../Entry.js';
import { EntrySettings, type PolicySettings } from '../EntrySettings.js';

/** Longer than the default poll interval of the membership list. */
const MEMBERSHIP_REFRESH_MS = 1500;

export const TOKEN = 'token-of-alba';
export const INTERNAL_TOKEN = 'internal-token-of-tests';

/** Template as published; fields with a default may be omitted. */
export type TemplateInput = Parameters<(typeof Template)['parse']>[0];

/** Options of {@link startEntry}. */
export interface TestEntryOptions {
  readonly agents: readonly { readonly id: string; readonly address: string }[];
  readonly templates: readonly unknown[];
  readonly policy?: Partial<PolicySettings>;
  /** Deadline of every template, in ms. */
  readonly deadlineMs?: number;
  readonly table?: FakeTableStore;
  readonly id?: string;
  readonly shutdown?: EntrySettings['shutdown'];
  /** File to which trace spans are written. */
  readonly traceFile?: string;
  /** @returns pool of an agent; by default, all agents are in the pool `pool`. */
  readonly poolOf?: (agentId: string) => string;
  /** Whether usage is recorded; true by default, false for long measurements. */
  readonly recordsUsage?: boolean;
}

/** A running entry with its recorded usage. */
export interface TestEntry {
  readonly entry: Entry;
  readonly url: string;
  readonly ledger: LedgerEntry[];
  readonly table: FakeTableStore;
  readonly configuration: ConfigurationSource;
  /** Adds a server to the membership list, in the pool `other`, which no stage uses. */
  addServer(id: string): void;
  /** Waits until the entry has read the membership list again. */
  refreshServers(): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Creates a configuration with one client account that is entitled to all templates.
 * @param templates - templates; fields with a default may be omitted
 * @param deadlineMs - deadline of each template, in ms
 * @returns a snapshot at revision 1
 */
export function createSnapshot(
  templates: readonly unknown[],
  deadlineMs: number,
): ConfigurationSnapshot {
  const parsed = templates.map((template) => Template.parse(template));
  const account = Account.parse({
    id: 'alba',
    tokenDigest: sha256(TOKEN),
    templates: Object.fromEntries(parsed.map(({ name }) => [name, { deadlineMs }])),
  });
  return {
    revision: 1,
    templates: new Map(parsed.map((template) => [template.name, template])),
    accounts: new Map([[account.id, account]]),
    accountsByToken: new Map([[account.tokenDigest, account]]),
    servers: new Map(),
  };
}

/**
 * Starts an entry on a free port.
 * @param options - agents and templates
 * @returns the entry, ready to serve
 */
export async function startEntry(options: TestEntryOptions): Promise<TestEntry> {
  const ledger: LedgerEntry[] = [];
  const table = options.table ?? new FakeTableStore();
  const configuration = createSource(createSnapshot(options.templates, options.deadlineMs ?? 5000));
  const instances = options.agents.map((agent): Instance => ({
    id: agent.id,
    role: 'agent',
    address: agent.address,
    failureDomain: 'north',
    region: 'default',
    pool: options.poolOf?.(agent.id) ?? 'pool',
    state: 'live',
  }));
  const entry = new Entry({
    settings: createSettings(options),
    clock: new SystemClock(),
    random: new SeededRandom(1),
    configuration,
    membership: { list: async () => ({ ok: true, value: instances }) },
    table,
    objects: {
      put: async () => ({ ok: true, value: undefined }),
      get: async () => ({ ok: true, value: null }),
    },
    ledger: {
      record: (row) => {
        if (options.recordsUsage !== false) ledger.push(row);
      },
      flush: async () => undefined,
      dispose: () => undefined,
    },
    logger: createLogger('test', 'error'),
    metrics: createMetrics(),
    tracing: createTracing('test', { sampleRatio: 1, file: options.traceFile }),
    operators: () => async () => false,
  });
  const url = `http://${await entry.start()}`;
  const stop = async () => {
    await entry.stop();
  };
  const addServer = (id: string) => {
    instances.push({ ...instances[0]!, id, pool: 'other' });
  };
  const refreshServers = () => sleep(MEMBERSHIP_REFRESH_MS);
  return { entry, url, ledger, table, configuration, addServer, refreshServers, stop };
}

/**
 * Sends a request to an entry.
 * @param url - base URL of the entry
 * @param template - template name
 * @param input - caller's input
 * @param headers - additional headers
 * @returns status and parsed body
 */
export async function post(
  url: string,
  template: string,
  input: unknown,
  headers: Record<string, string> = {},
): Promise<{ status: number; body: Record<string, unknown> }> {
  const response = await fetch(`${url}/v1/pipelines/${template}/requests`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TOKEN}`, ...headers },
    body: typeof input === 'string' ? input : JSON.stringify({ input }),
  });
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

/** @returns the `error` field of an error response. */
export function errorOf(body: Record<string, unknown>): { kind: string; outcome: string } {
  return body.error as { kind: string; outcome: string };
}

function createSettings(options: TestEntryOptions): EntrySettings {
  const unusedUrl = 'http://127.0.0.1:9';
  return EntrySettings.parse({
    id: options.id ?? 'entry-1',
    address: '127.0.0.1:0',
    failureDomain: 'north',
    platform: { tableUrl: unusedUrl, objectUrl: unusedUrl, membershipUrl: unusedUrl },
    internalToken: INTERNAL_TOKEN,
    policy: options.policy ?? {},
    shutdown: options.shutdown ?? { balancerDelayMs: 0, deadlineMs: 3000 },
  });
}

function createSource(snapshot: ConfigurationSnapshot): ConfigurationSource {
  const notice = { revision: snapshot.revision, confirmedAgeMs: 0 };
  return {
    snapshot: () => snapshot,
    notice: () => notice,
    refresh: async () => undefined,
    ready: true,
    onChange: new Emitter<ConfigurationSnapshot>().event,
    receiveNotice: () => undefined,
    newerRevisionHeldMs: () => 0,
    since: async () => ({ changes: [], notice }),
    notify: async () => notice,
    dispose: () => undefined,
  };
}
