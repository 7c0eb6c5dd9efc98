import { createServer, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { EnginePlacement } from '../common/serving/EnginePlacement.js';
import { ServerRecords } from '../common/serving/ServerChoice.js';
import { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { Clock } from '../common/time/Types.js';
import type { FeedRow, RowFeed } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Metrics } from '../telemetry/Metrics.js';
import { ConfigurationView } from './ConfigurationView.js';
import { Connections } from './Connections.js';
import { Ingress } from './Ingress.js';
import { RequestRunner } from './RequestRunner.js';
import { ServiceBudgets } from './ServiceBudgets.js';
import { ServingMetrics } from './ServingMetrics.js';
import type { ServingSettings } from './ServingSettings.js';
import { StageBatcher } from './StageBatcher.js';
import { StageClient, taskOfOrder } from './StageClient.js';
import { StageRunner } from './StageRunner.js';
import { TableFollower } from './TableFollower.js';
import type { RowDecoder, ServingProtocol } from './Types.js';
import { ChannelServer } from './peers/ChannelServer.js';
import { MemberRow, type Heartbeat } from './peers/PeerMessages.js';
import { PeerClients } from './peers/PeerClients.js';
import { createPeerRouter } from './peers/PeerRouter.js';
import { PeerServer } from './peers/PeerServer.js';
import { PeerView } from './peers/PeerView.js';

/** Names of the store's tables and rows. */
export interface StoreNames {
  readonly configurationTable: string;
  readonly configurationKey: string;
  readonly serverTable: string;
  readonly memberTable: string;
}

/** What a serving process is built from. */
export interface ServingParts {
  readonly settings: ServingSettings;
  readonly protocol: ServingProtocol;
  readonly decoder: RowDecoder;
  readonly names: StoreNames;
  /** Makes connections to the store; each follower has its own. */
  readonly createFeed: (address: string) => RowFeed;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Waits for changes of configuration and servers: a connection that went silent shows after it. */
const CHANGE_WAIT_MS = 1500;

/** Waits for changes of the list of processes, which heartbeats confirm anyway. */
const MEMBER_WAIT_MS = 10_000;

const WRITE_TIMEOUT_MS = 1000;
const WRITE_RETRY_MS = 500;

/** Interval at which removals of servers that wait for their return are looked at, in ms. */
const DIRECTORY_CHECK_MS = 100;

/** The balancer stops sending connections this long after readiness fails: two missed checks. */
const BALANCER_LAG_MS = 2600;

/** Time left before SIGKILL at which a stopping process ends, in ms. */
const EXIT_MARGIN_MS = 600;

const STOP_CHECK_MS = 50;

/** Link on which the traffic of batching does not show, in Mbit/s. */
const AMPLE_LINK_MBPS = 200;

/** One process that serves callers, batches stages and keeps in touch with its peers. */
export class ServingProcess {
  private readonly directory: ServerDirectory;

  private readonly configuration: ConfigurationView;

  private readonly batcher: StageBatcher;

  private readonly view: PeerView;

  private readonly clients: PeerClients;

  private readonly channels: ChannelServer;

  private readonly records: ServerRecords;

  private readonly ingress: Ingress;

  private readonly readiness: Server;

  private readonly peerServer: PeerServer;

  private readonly followers: TableFollower[] = [];

  private readonly members = new Map<string, string>();

  private readonly incarnation: number;

  private isStopping = false;

  constructor(private readonly parts: ServingParts) {
    const { clock, logger, settings, protocol, metrics } = parts;
    this.incarnation = clock.wallTime();
    this.clients = new PeerClients(logger);
    this.directory = new ServerDirectory(clock);
    this.configuration = new ConfigurationView(parts.decoder, logger);
    this.view = new PeerView(clock, () => this.heartbeat());
    this.records = new ServerRecords(clock);
    const { ratio, slack, windowSeconds } = settings.retryBudget;
    const processes = () => this.view.processes;
    const allowance = { ratio, slack, windowMs: windowSeconds * 1000 };
    const budgets = new ServiceBudgets(clock, allowance, processes);
    const table = () => this.configuration.table;
    const connections = new Connections(clock, {
      maxConnections: (service) => table()?.service(service)?.maxConnections ?? 1,
      processes,
    });
    const shared = { clock, logger, protocol, connections, directory: this.directory, table };
    this.batcher = new StageBatcher({
      ...shared,
      mayRepeat: (service) => budgets.of(service).trySpend(),
    });
    const stageClient = new StageClient({
      ownId: settings.id,
      clock,
      logger,
      batcher: this.batcher,
      clients: this.clients,
      view: this.view,
    });
    const servingMetrics = new ServingMetrics(metrics);
    const stages = new StageRunner({ clock, stages: stageClient, table });
    const placement = new EnginePlacement(clock, this.records);
    const runner = new RequestRunner({
      ...shared,
      ownId: settings.id,
      failureDomain: settings.failureDomain,
      records: this.records,
      placement,
      stages,
      budgets,
      view: this.view,
      random: parts.random,
    });
    this.ingress = new Ingress({
      clock,
      logger,
      protocol,
      metrics: servingMetrics,
      table,
      isStopping: () => this.isStopping,
      serve: (request) => runner.run(request),
    });
    this.directory.onRemoved((server) => {
      logger.info('backend server gone', { server: server.id, service: server.service });
      connections.drop(server);
      this.records.forget(server.id);
      placement.forget(server.id);
    });
    this.directory.onChanged((server) => {
      const { id, service, isDraining, address } = server;
      logger.info('backend server registered', { server: id, service, isDraining, address });
    });
    this.configuration.onChanged((routes) => {
      this.ingress.applyLimits(routes.configuration.limits);
      this.batcher.updateServers();
    });
    this.readiness = createServer((_request, response) => {
      response.writeHead(this.isReady ? 200 : 503).end();
    });
    this.channels = new ChannelServer(
      {
        runStage: (order, cancellation) =>
          this.batcher.run(order.service, taskOfOrder(order, clock.now()), cancellation),
        release: (handles) => this.batcher.releaseResults(handles),
      },
      logger,
    );
    this.peerServer = new PeerServer({
      ip: settings.ip,
      port: settings.internalPorts[0],
      router: createPeerRouter({
        configuration: () => this.configuration.copy,
      }),
      metrics,
      logger,
      heartbeat: () => this.heartbeat(),
      targets: () => [...this.members.values()],
      onHeartbeat: (heartbeat) => this.hear(heartbeat),
    });
  }

  /** True if callers can be served. */
  get isReady(): boolean {
    return !this.isStopping && this.configuration.table !== undefined && this.directory.size > 0;
  }

  /** Listens, makes itself known and starts to follow the store. */
  async start(): Promise<void> {
    const { settings, names, logger } = this.parts;
    await this.peerServer.start();
    await this.channels.listen(settings.ip, settings.internalPorts[0] + 1);
    const readiness = endpointOf(settings.listen.readiness);
    await new Promise<void>((resolve, reject) => {
      this.readiness.once('error', reject);
      this.readiness.listen(readiness.port, readiness.ip, resolve);
    });
    const callers = endpointOf(settings.listen.callers);
    await this.ingress.listen(callers.ip, callers.port);
    this.follow(names.configurationTable, CHANGE_WAIT_MS, {
      replaceAll: (rows) => this.applyConfiguration(rows),
      apply: (rows) => this.applyConfiguration(rows),
    });
    this.follow(names.serverTable, CHANGE_WAIT_MS, {
      replaceAll: (rows) => this.applyServers(rows, true),
      apply: (rows) => this.applyServers(rows, false),
      onReachable: () => this.directory.markStoreReachable(),
      onLost: () => this.directory.markStoreLost(),
    });
    this.follow(names.memberTable, MEMBER_WAIT_MS, {
      replaceAll: (rows) => this.replaceMembers(rows),
      apply: (rows) => this.applyMembers(rows),
    });
    setInterval(() => this.checkDirectory(), DIRECTORY_CHECK_MS);
    this.writeMember(true).catch((error: unknown) => logger.error('member row failed', { error }));
    logger.info('started', { id: settings.id, incarnation: this.incarnation });
  }

  /** Stops taking requests, finishes those that run, and returns when none is left. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { clock, logger, settings } = this.parts;
    const startedAt = clock.now();
    logger.info('stopping', { running: this.ingress.requestsRunning });
    this.peerServer.beat();
    this.writeMember(false).catch((error: unknown) =>
      logger.warn('member row not removed', { error }),
    );
    const endsAt = startedAt + settings.shutdown.graceSeconds * 1000 - EXIT_MARGIN_MS;
    await sleep(BALANCER_LAG_MS);
    while (clock.now() < endsAt) {
      this.ingress.closeIdle();
      if (this.ingress.requestsRunning === 0) break;
      await sleep(STOP_CHECK_MS);
    }
    this.followers.forEach((follower) => follower.dispose());
    logger.info('stopped', { running: this.ingress.requestsRunning });
  }

  private follow(
    table: string,
    waitMs: number,
    listener: Partial<TableFollowerListener> & Pick<TableFollowerListener, 'replaceAll' | 'apply'>,
  ): void {
    const { createFeed, settings, logger, random } = this.parts;
    const follower = new TableFollower({
      feed: createFeed(settings.store),
      table,
      waitMs,
      listener: { onReachable: () => undefined, onLost: () => undefined, ...listener },
      logger,
      random,
    });
    this.followers.push(follower);
    follower.run().catch((error: unknown) => logger.error('follower failed', { table, error }));
  }

  private applyConfiguration(rows: readonly FeedRow[]): void {
    rows
      .filter(({ key }) => key === this.parts.names.configurationKey)
      .forEach(({ value }) => value && this.configuration.offer(value, 'store'));
  }

  private applyServers(rows: readonly FeedRow[], isComplete: boolean): void {
    const registrations = rows.map(({ key, value }) => {
      if (!value) return { id: key };
      const decoded = this.parts.decoder.registration(key, value);
      if (decoded.ok) return decoded.value;
      const { reason } = decoded;
      this.parts.logger.warn('registration ignored', { server: key, reason });
      return { id: key };
    });
    if (isComplete) this.directory.replaceAll(registrations);
    else this.directory.apply(registrations);
    if (registrations.length > 0) this.batcher.updateServers();
  }

  private checkDirectory(): void {
    const before = this.directory.size;
    this.directory.expire();
    if (this.directory.size !== before) this.batcher.updateServers();
  }

  private replaceMembers(rows: readonly FeedRow[]): void {
    this.members.clear();
    this.applyMembers(rows);
  }

  private applyMembers(rows: readonly FeedRow[]): void {
    rows.forEach(({ key, value }) => {
      this.members.delete(key);
      if (!value || key === this.parts.settings.id) return;
      const member = MemberRow.safeParse(parseJson(value));
      if (member.success) this.members.set(key, member.data.address);
      else this.parts.logger.warn('member row ignored', { member: key });
    });
  }

  private async writeMember(isPresent: boolean): Promise<void> {
    const { settings, names, createFeed, logger } = this.parts;
    const feed = createFeed(settings.store);
    const row = { id: settings.id, address: this.peerAddress };
    const value = isPresent ? Buffer.from(JSON.stringify(row)) : undefined;
    const options = { timeoutMs: WRITE_TIMEOUT_MS };
    for (;;) {
      const result = await feed.write(names.memberTable, settings.id, value, options);
      if (result.ok || this.isStopping === isPresent) return;
      logger.warn('member row not written', { error: result.error });
      await sleep(WRITE_RETRY_MS);
    }
  }

  private hear(heartbeat: Heartbeat): void {
    this.view.hear(heartbeat);
    // A peer may be known by its heartbeat before its row is read.
    if (!this.members.has(heartbeat.id)) this.members.set(heartbeat.id, heartbeat.address);
    if (heartbeat.configurationVersion > this.configuration.version) this.pull(heartbeat);
  }

  /** Takes a newer configuration from a peer, for processes that the store does not answer. */
  private pull({ id, address }: Heartbeat): void {
    this.clients
      .to(address)
      .configuration.query(undefined, { signal: AbortSignal.timeout(WRITE_TIMEOUT_MS) })
      .then((copy) => copy && this.configuration.offer(Buffer.from(copy.value, 'base64'), id))
      .catch((error: unknown) =>
        this.parts.logger.debug('configuration not pulled', { peer: id, error }),
      );
  }

  private get peerAddress(): string {
    const { ip, internalPorts } = this.parts.settings;
    return `${ip}:${internalPorts[0]}`;
  }

  /** Small instances on slow links batch only if no other is left. */
  private get batchingWeight(): number {
    const { coreShare, cores, linkMbps } = this.parts.settings.instance;
    return coreShare * cores * Math.min(1, linkMbps / AMPLE_LINK_MBPS);
  }

  private heartbeat(): Heartbeat {
    const { settings } = this.parts;
    return {
      id: settings.id,
      incarnation: this.incarnation,
      address: this.peerAddress,
      channel: `${settings.ip}:${settings.internalPorts[0] + 1}`,
      weight: this.batchingWeight,
      isLeaving: this.isStopping,
      configurationVersion: this.configuration.version,
      backlogs: Object.fromEntries(this.batcher.backlogs()),
      engines: this.records.engineLoads(),
    };
  }
}

type TableFollowerListener = ConstructorParameters<typeof TableFollower>[0]['listener'];

function endpointOf(address: string): { ip: string; port: number } {
  const separator = address.lastIndexOf(':');
  return { ip: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function parseJson(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    // The schema check that follows rejects it.
    return undefined;
  }
}
