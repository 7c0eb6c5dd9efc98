import { join } from 'node:path';
import { sha256 } from '../../common/Digest.js';
import type { Instance } from '../../common/protocol/Membership.js';
import { StandinClient } from '../client/StandinClient.js';
import type { NaiveSettings } from '../naive/NaiveSettings.js';
import { waitUntilReady } from './Readiness.js';
import { writeInitialConfiguration } from './InitialConfiguration.js';
import { Launcher } from './Launcher.js';
import type { ManagedProcess } from './ManagedProcess.js';
import { LOOPBACK, findFreePorts } from './Ports.js';
import { backendService, platformServices, type StandinService } from './StandinServices.js';
import { TcpRelay } from './TcpRelay.js';
import type {
  AgentInstance,
  AgentOverrides,
  BackendServer,
  ClusterOptions,
  EntryInstance,
} from './Types.js';

/** Token of the operator `launcher` in the settings of every launched entry. */
export const OPERATOR_TOKEN = 'operator-token-of-launcher';

/** Token that all launched processes share for internal calls. */
export const INTERNAL_TOKEN = 'internal-token-of-launcher';

/** Backend stand-ins in one process; spreads them over processes, so that one core is no bottleneck. */
const BACKENDS_PER_PROCESS = 8;

/** Processes started at the same time; more would only compete for CPU cores. */
const START_BATCH_SIZE = 8;

/** Runs a complete deployment as child processes on the loopback interface. */
export class Cluster {
  readonly servers: BackendServer[] = [];

  readonly entries: EntryInstance[] = [];

  readonly agents: AgentInstance[] = [];

  /** Relay in front of the table service. */
  tableRelay: TcpRelay | undefined;

  /** Control interface of the table service. */
  table!: StandinClient;

  /** Control interface of the object store. */
  objects!: StandinClient;

  /** Control interface of the membership service. */
  membership!: StandinClient;

  /** Relays in front of agents, or of backend servers for the baseline. */
  readonly dataRelays: TcpRelay[] = [];

  private readonly standins: ManagedProcess[] = [];

  /** URLs of the platform services, as the settings of a process name them. */
  private platform: Record<string, string> = {};

  private constructor(
    readonly options: ClusterOptions,
    readonly launcher: Launcher,
  ) {}

  /**
   * Starts the stand-ins, writes the first configuration, then starts agents and entries.
   * @param options - deployment and settings
   * @returns the running cluster; the caller must dispose it
   * @throws Error if a process does not start
   */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options, await Launcher.create());
    try {
      await cluster.startAll();
      return cluster;
    } catch (error) {
      await cluster.dispose(true);
      throw error;
    }
  }

  get isNaive(): boolean {
    return this.options.variant === 'naive';
  }

  /**
   * @param pool - pool name
   * @returns backend servers of the pool
   */
  serversOf(pool: string): BackendServer[] {
    return this.servers.filter((server) => server.pool.name === pool);
  }

  /**
   * @param pool - pool name
   * @returns agents of the backend servers of the pool
   */
  agentsOf(pool: string): AgentInstance[] {
    return this.agents.filter((agent) => agent.server.pool.name === pool);
  }

  /** @returns all entries and agents as rows of the membership list */
  instances(): Instance[] {
    const { region } = this.options.deployment;
    const entries = this.entries.map((entry): Instance => {
      const { id, address, failureDomain } = entry;
      return { id, role: 'entry', address, failureDomain, region, state: 'live' };
    });
    const agents = this.agents.map((agent): Instance => {
      const { failureDomain, pool } = agent.server;
      const { id, listedAddress: address } = agent;
      const base = { id, address, failureDomain, region };
      return { ...base, role: 'agent', pool: pool.name, state: 'live' };
    });
    return [...entries, ...agents];
  }

  /**
   * Defines an agent for a backend server without starting it or adding it to the membership list.
   * @param id - id of the agent
   * @param server - backend server
   * @param overrides - settings that differ from those of the other agents
   * @returns the agent, not started
   */
  async defineAgent(
    id: string,
    server: BackendServer,
    overrides: AgentOverrides = {},
  ): Promise<AgentInstance> {
    const [port] = await findFreePorts(1);
    const address = `${LOOPBACK}:${port}`;
    const relay = this.options.relays ? this.addRelay(address) : undefined;
    const listedAddress = relay ? await relay.listen() : address;
    const { slots, name } = server.pool;
    const settings = {
      ...this.processSettings(id, address, server.failureDomain),
      backend: { id: server.id, url: `http://${server.address}`, pool: name, slots },
      ...this.options.agent,
      ...this.options.agentSettingsOf?.(server),
      ...overrides,
    };
    const process = await this.launcher.define(id, 'citronstage-agent', settings);
    return { id, address, listedAddress, server, process, ...(relay && { relay }) };
  }

  /**
   * Stops all processes and relays.
   * @param failed - whether to keep the folder with settings and logs for inspection
   */
  async dispose(failed = false): Promise<void> {
    await this.launcher.dispose(failed || this.options.keepFolder);
    const relays = this.tableRelay ? [...this.dataRelays, this.tableRelay] : this.dataRelays;
    await Promise.all(relays.map((relay) => relay.dispose()));
  }

  private async startAll(): Promise<void> {
    await this.allocateAddresses();
    this.platform = await this.platformSettings();
    await this.defineAgents();
    await this.defineEntries();
    await this.startStandins();
    await writeInitialConfiguration(this.table.address, this.options.deployment);
    await startInBatches(this.agents.map((agent) => agent.process));
    await startInBatches(this.entries.map((entry) => entry.process));
    if (this.isNaive) return;
    const members = [...this.agents, ...this.entries];
    await Promise.all(members.map((member) => waitUntilReady(member.address)));
  }

  private async allocateAddresses(): Promise<void> {
    const { pools, failureDomains } = this.options.deployment;
    const placements = pools.flatMap((pool) =>
      Array.from({ length: pool.servers }, (_unused, index) => ({ pool, index })),
    );
    const ports = await findFreePorts(placements.length + 3);
    const addresses = ports.map((port) => `${LOOPBACK}:${port}`);
    const [table, objects, membership] = addresses.splice(0, 3) as [string, string, string];
    this.table = new StandinClient(table);
    this.objects = new StandinClient(objects);
    this.membership = new StandinClient(membership);
    placements.forEach(({ pool, index }, position) => {
      const address = addresses[position]!;
      this.servers.push({
        id: `${pool.name}-${index + 1}`,
        pool,
        address,
        failureDomain: failureDomains[index % failureDomains.length]!,
        control: new StandinClient(address),
      });
    });
  }

  private async startStandins(): Promise<void> {
    const { table, objects, membership } = this;
    const addresses = {
      table: table.address,
      objects: objects.address,
      membership: membership.address,
    };
    await this.defineStandin('platform', platformServices(addresses, this.instances()));
    for (let first = 0; first < this.servers.length; first += BACKENDS_PER_PROCESS) {
      const hosted = this.servers.slice(first, first + BACKENDS_PER_PROCESS);
      await this.defineStandin(`backends-${first}`, hosted.map(backendService));
    }
    await Promise.all(this.standins.map((standin) => standin.start()));
  }

  private async defineStandin(name: string, services: StandinService[]): Promise<void> {
    this.standins.push(
      await this.launcher.define(`standin-${name}`, 'citronstage-standin', { services }),
    );
  }

  private async platformSettings(): Promise<Record<string, string>> {
    this.tableRelay = new TcpRelay(this.table.address);
    return {
      tableUrl: `http://${await this.tableRelay.listen()}`,
      objectUrl: `http://${this.objects.address}`,
      membershipUrl: `http://${this.membership.address}`,
    };
  }

  private async defineAgents(): Promise<void> {
    if (this.isNaive) return;
    for (const server of this.servers) {
      this.agents.push(await this.defineAgent(`agent-${server.id}`, server));
    }
  }

  private async defineEntries(): Promise<void> {
    const { entries, failureDomains } = this.options.deployment;
    const ports = await findFreePorts(entries);
    for (const [position, port] of ports.entries()) {
      const id = `entry-${position + 1}`;
      const address = `${LOOPBACK}:${port}`;
      const failureDomain = failureDomains[position % failureDomains.length]!;
      const process = this.isNaive
        ? await this.defineNaive(id, address)
        : await this.launcher.define(id, 'citronstage-entry', {
            ...this.processSettings(id, address, failureDomain),
            operators: [{ name: 'launcher', tokenDigest: sha256(OPERATOR_TOKEN) }],
            shutdown: { balancerDelayMs: 200 },
            ...this.options.entry,
          });
      this.entries.push({ id, address, failureDomain, process });
    }
  }

  private processSettings(
    id: string,
    address: string,
    failureDomain: string,
  ): Record<string, unknown> {
    const file = this.options.traceFile;
    return {
      id,
      address,
      failureDomain,
      region: this.options.deployment.region,
      platform: this.platform,
      internalToken: INTERNAL_TOKEN,
      log: { level: 'info' },
      tracing: file === undefined ? { sampleRatio: 0 } : { file: join(this.launcher.folder, file) },
    };
  }

  private async defineNaive(id: string, address: string): Promise<ManagedProcess> {
    const servers: NaiveSettings['servers'] = [];
    for (const server of this.servers) {
      const relay = this.options.relays ? this.addRelay(server.address) : undefined;
      const serverAddress = relay ? await relay.listen() : server.address;
      servers.push({ pool: server.pool.name, url: `http://${serverAddress}` });
    }
    const settings = { address, tableUrl: this.platform.tableUrl!, pollIntervalMs: 1000, servers };
    return this.launcher.define(id, 'citronstage-load', settings, ['naive']);
  }

  private addRelay(target: string): TcpRelay {
    const relay = new TcpRelay(target);
    this.dataRelays.push(relay);
    return relay;
  }
}

async function startInBatches(processes: readonly ManagedProcess[]): Promise<void> {
  for (let first = 0; first < processes.length; first += START_BATCH_SIZE) {
    const batch = processes.slice(first, first + START_BATCH_SIZE);
    await Promise.all(batch.map((member) => member.start()));
  }
}
