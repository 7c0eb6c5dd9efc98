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
import { writeInitialConfiguration } from '../launch/InitialConfiguration.js';
import { Launcher } from '../launch/Launcher.js';
import { LOOPBACK, findFreePorts } from '../launch/Ports.js';
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

/** Options of a measured cluster. */
export interface MeasuredClusterOptions {
  readonly deployment: Deployment;
  /** Whether to start no agents and backend servers; pools are then only names in templates. */
  readonly withoutAgents?: boolean;
  /** Called after the stand-ins have started and before agents and entry start. */
  readonly prepare?: (cluster: MeasuredCluster) => Promise<void>;
  /** Overrides of the settings of the entry. */
  readonly entry?: Record<string, unknown>;
  /** Overrides of the settings of the table service. */
  readonly table?: Record<string, unknown>;
}

/** One entry, one agent per pool, and their stand-ins. Entry and agents run with the probe. */
export class MeasuredCluster {
  entry!: ProbedProcess;

  entryAddress = '';

  readonly agents = new Map<string, ProbedProcess>();

  readonly backends = new Map<string, string>();

  readonly instances: Instance[] = [];

  table!: StandinClient;

  membership!: StandinClient;

  private platform: Record<string, string> = {};

  private constructor(
    private readonly options: MeasuredClusterOptions,
    private readonly launcher: Launcher,
  ) {}

  /**
   * Starts a cluster, runs the measurement and stops the cluster, also after an error.
   * @param options - options of the cluster
   * @param run - measurement to run
   * @returns result of the measurement
   */
  static async with<T>(
    options: MeasuredClusterOptions,
    run: (cluster: MeasuredCluster) => Promise<T>,
  ): Promise<T> {
    const cluster = new MeasuredCluster(options, await Launcher.create());
    try {
      await cluster.start();
      return await run(cluster);
    } finally {
      await cluster.dispose();
    }
  }

  /** Traffic name of connections to the table service. */
  get tableTrafficName(): string {
    return `out:${portOf(this.table.address)}`;
  }

  /** Traffic name of connections to the membership service. */
  get membershipTrafficName(): string {
    return `out:${portOf(this.membership.address)}`;
  }

  /**
   * Sends one request to the entry.
   * @param position - index of the template in the traffic of the deployment
   * @param unique - unique text for the input and the idempotency key
   * @returns answer with a result
   * @throws Error if the answer is not a result
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
   * Starts a measured process on a free port.
   * @param role - binary to run
   * @param overrides - overrides of its settings
   * @returns process, address and id; the process may not have passed its readiness check yet
   */
  async startProcess(
    role: 'entry' | 'agent',
    overrides: Record<string, unknown>,
  ): Promise<{ process: ProbedProcess; address: string; id: string }> {
    const [port] = await findFreePorts(1);
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
      ...overrides,
    };
    const file = join(this.launcher.folder, `${id}.jsonc`);
    await writeFile(file, JSON.stringify(settings));
    const logFile = join(this.launcher.folder, `${id}.log`);
    const args = ['--config', file];
    const started = await ProbedProcess.start(`bin/citronstage-${role}.js`, args, logFile);
    this.processes.push(started);
    return { process: started, address, id };
  }

  /** @returns settings that only entries have */
  entrySettings(): Record<string, unknown> {
    return {
      operators: [{ name: 'measure', tokenDigest: sha256(OPERATOR_TOKEN) }],
      ...this.options.entry,
    };
  }

  private readonly processes: ProbedProcess[] = [];

  private async start(): Promise<void> {
    const { deployment, prepare, withoutAgents } = this.options;
    const pools = withoutAgents ? [] : deployment.pools;
    await this.startStandins(pools.length);
    await writeInitialConfiguration(this.table.address, deployment);
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
    const ports = await findFreePorts(backendCount + 3);
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
    await Promise.all(this.processes.map((started) => started.stop()));
    await this.launcher.dispose();
  }
}

/**
 * Waits until the readiness check of a process succeeds.
 * @param address - `ip:port` of the process
 * @throws Error if the process is not ready after 60 s
 */
export async function whenReady(address: string): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const response = await request(`http://${address}/readyz`).catch(() => undefined);
    await response?.body.dump();
    if (response?.statusCode === 200) return;
    await sleep(READY_POLL_MS);
  }
  throw new Error(`${address} did not become ready within ${READY_TIMEOUT_MS} ms`);
}

/**
 * Creates an entry of the membership list.
 * @param id - id of the instance
 * @param address - `ip:port` of the instance
 * @param role - role of the instance
 * @param pool - pool of an agent
 * @returns live instance
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
