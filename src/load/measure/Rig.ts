import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { sha256 } from '../../common/Digest.js';
import type { Instance } from '../../common/protocol/Membership.js';
import { callEntry, type CallerAnswer } from '../client/CallerClient.js';
import { StandinClient } from '../client/StandinClient.js';
import type { Deployment } from '../deployment/Types.js';
import { INTERNAL_TOKEN, OPERATOR_TOKEN } from '../launch/Cluster.js';
import { writeSeed } from '../launch/ConfigurationSeed.js';
import { Launcher } from '../launch/Launcher.js';
import { LOOPBACK, freePorts } from '../launch/Ports.js';
import {
  backendService,
  platformServices,
  type StandinService,
} from '../launch/StandinServices.js';
import type { BackendServer } from '../launch/Types.js';
import { ProbedProcess } from './ProbedProcess.js';

const REGION = 'region-a';
const FAILURE_DOMAIN = 'domain-a';
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 60_000;
const CALL_TIMEOUT_MS = 30_000;

/** What a rig starts. */
export interface RigOptions {
  readonly deployment: Deployment;
  /** Starts no agent and no backend server; pools are then only names. */
  readonly withoutAgents?: boolean;
  /** Called after the stand-ins started and before the entry. */
  readonly prepare?: (rig: Rig) => Promise<void>;
  /** Changes to the settings of the entry. */
  readonly entry?: Record<string, unknown>;
  /** Changes to the settings of the table service. */
  readonly table?: Record<string, unknown>;
}

/** One entry, one agent a pool and their stand-ins; entry and agents are measured. */
export class Rig {
  entry!: ProbedProcess;

  entryAddress = '';

  readonly agents = new Map<string, ProbedProcess>();

  readonly backends = new Map<string, string>();

  readonly instances: Instance[] = [];

  table!: StandinClient;

  membership!: StandinClient;

  private platform: Record<string, string> = {};

  private constructor(
    private readonly options: RigOptions,
    private readonly launcher: Launcher,
  ) {}

  /**
   * Starts a rig, runs the measurement and always ends the rig.
   * @param options - what to start
   * @param run - measurement
   * @returns what the measurement gives
   */
  static async with<T>(options: RigOptions, run: (rig: Rig) => Promise<T>): Promise<T> {
    const rig = new Rig(options, await Launcher.create());
    try {
      await rig.start();
      return await run(rig);
    } finally {
      await rig.dispose();
    }
  }

  /** Part of the traffic name of connections to the table service. */
  get tablePort(): string {
    return `out:${portOf(this.table.address)}`;
  }

  get membershipPort(): string {
    return `out:${portOf(this.membership.address)}`;
  }

  /**
   * Sends one request.
   * @param position - number of the template among the deployment's
   * @param unique - text that makes the request unique
   * @returns answer
   * @throws Error if it is not a result
   */
  async call(position: number, unique: string): Promise<CallerAnswer> {
    const traffic = this.options.deployment.traffic[position]!;
    const answer = await callEntry({
      address: this.entryAddress,
      token: this.options.deployment.accounts[0]!.token,
      template: traffic.template.name,
      input: traffic.input(unique),
      idempotencyKey: unique,
      streamed: traffic.streamed,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (answer.kind !== 'result') throw new Error(JSON.stringify(answer));
    return answer;
  }

  /**
   * Starts one more measured process with a fresh port.
   * @param role - binary
   * @param extra - changes to its settings
   * @returns process and address, before it is known to be ready
   */
  async startProcess(
    role: 'entry' | 'agent',
    extra: Record<string, unknown>,
  ): Promise<{ process: ProbedProcess; address: string; id: string }> {
    const [port] = await freePorts(1);
    const address = `${LOOPBACK}:${port}`;
    const id = `${role}-${port}`;
    const settings = {
      id,
      address,
      failureDomain: FAILURE_DOMAIN,
      region: REGION,
      platform: this.platform,
      internalToken: INTERNAL_TOKEN,
      tracing: { sampleRatio: 0 },
      ...extra,
    };
    const file = join(this.launcher.folder, `${id}.jsonc`);
    await writeFile(file, JSON.stringify(settings));
    const log = join(this.launcher.folder, `${id}.log`);
    const words = ['--config', file];
    const started = await ProbedProcess.start(`bin/citronstage-${role}.js`, words, log);
    this.extraProcesses.push(started);
    return { process: started, address, id };
  }

  /** @returns settings that an entry has and an agent has not. */
  entrySettings(): Record<string, unknown> {
    return {
      operators: [{ name: 'measure', tokenDigest: sha256(OPERATOR_TOKEN) }],
      ...this.options.entry,
    };
  }

  private readonly extraProcesses: ProbedProcess[] = [];

  private async start(): Promise<void> {
    const { deployment, prepare, withoutAgents } = this.options;
    const pools = withoutAgents ? [] : deployment.pools;
    await this.startStandins(pools.length);
    await writeSeed(this.table.address, deployment);
    await prepare?.(this);
    for (const pool of pools) {
      const backend = {
        id: `${pool.name}-1`,
        url: `http://${this.backends.get(pool.name)!}`,
        pool: pool.name,
        slots: pool.slots,
      };
      const { process, address, id } = await this.startProcess('agent', { backend });
      this.agents.set(pool.name, process);
      this.instances.push(instanceOf(id, address, 'agent', pool.name));
      await whenReady(address);
    }
    await this.membership.setInstances(this.instances);
    const entry = await this.startProcess('entry', this.entrySettings());
    this.entry = entry.process;
    this.entryAddress = entry.address;
    await whenReady(entry.address);
  }

  private async startStandins(backendCount: number): Promise<void> {
    const ports = await freePorts(backendCount + 3);
    const addresses = ports.map((port) => `${LOOPBACK}:${port}`);
    const [table, objects, membership] = addresses.splice(0, 3) as [string, string, string];
    this.table = new StandinClient(table);
    this.membership = new StandinClient(membership);
    this.platform = {
      tableUrl: `http://${table}`,
      objectUrl: `http://${objects}`,
      membershipUrl: `http://${membership}`,
    };
    const platform = platformServices({ table, objects, membership }, []).map((service) =>
      service.kind === 'table' ? { ...service, ...this.options.table } : service,
    );
    await this.startStandin('platform', platform);
    const servers = addresses.map((address, position): BackendServer => {
      const pool = this.options.deployment.pools[position]!;
      this.backends.set(pool.name, address);
      const control = new StandinClient(address);
      return { id: `${pool.name}-1`, pool, address, failureDomain: FAILURE_DOMAIN, control };
    });
    if (servers.length > 0) await this.startStandin('backends', servers.map(backendService));
  }

  private async startStandin(name: string, services: StandinService[]): Promise<void> {
    const standin = await this.launcher.define(name, 'citronstage-standin', { services });
    await standin.start();
  }

  private async dispose(): Promise<void> {
    await Promise.all(this.extraProcesses.map((started) => started.stop()));
    await this.launcher.dispose();
  }
}

/**
 * Waits until a process answers its readiness check.
 * @param address - `ip:port`
 * @throws Error after a minute
 */
export async function whenReady(address: string): Promise<void> {
  const giveUpAt = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < giveUpAt) {
    const response = await request(`http://${address}/readyz`).catch(() => undefined);
    await response?.body.dump();
    if (response?.statusCode === 200) return;
    await sleep(READY_POLL_MS);
  }
  throw new Error(`${address} did not become ready`);
}

/**
 * @returns an instance as the membership list shows it
 */
export function instanceOf(
  id: string,
  address: string,
  role: Instance['role'],
  pool?: string,
): Instance {
  const base = { id, role, address, failureDomain: FAILURE_DOMAIN, region: REGION };
  return { ...base, state: 'live', ...(pool !== undefined && { pool }) };
}

function portOf(address: string): string {
  return address.slice(address.lastIndexOf(':') + 1);
}
