import { setTimeout as sleep } from 'node:timers/promises';
import { MIN_STREAM_LIFETIME_MS } from '../common/serving/RouteTable.js';
import { ServerDirectory } from '../common/serving/ServerDirectory.js';
import { ConfigurationView } from './ConfigurationView.js';
import { CrashCauseTable } from './CrashCauseTable.js';
import { BackendConnections } from './BackendConnections.js';
import { departureBoundsOf } from './DepartureBounds.js';
import { followServers } from './followServers.js';
import { Ingress } from './Ingress.js';
import { ReadinessServer } from './ReadinessServer.js';
import { RegistrationView } from './RegistrationView.js';
import { RetryBudgets } from './RetryBudgets.js';
import { ServerObservations } from './ServerObservations.js';
import { ServerShares } from './ServerShares.js';
import { ServingMetrics } from './ServingMetrics.js';
import type { ServingProcessOptions } from './ServingProcessOptions.js';
import { parseSocketAddress } from './SocketAddress.js';
import { registerLoadGauges, registerStateGauges } from './StateGauges.js';
import { StageBatcher } from './StageBatcher.js';
import { StageClient, toStageTask } from './StageClient.js';
import { createClientHandling, serverConnectionLimits } from './createClientHandling.js';
import { createRequestRunner } from './createRequestRunner.js';
import { createStreamTable } from './createStreamTable.js';
import type { StreamOriginTable } from './StreamOriginTable.js';
import { storedCrashCauses } from './StoredCrashCauses.js';
import { StoreEra } from './StoreEra.js';
import { StoreFollowers } from './StoreFollowers.js';
import { followStoreTables, serverDeliveryTimeoutMs } from './StoreTables.js';
import { ChannelServer } from './peers/ChannelServer.js';
import { Membership } from './peers/Membership.js';
import { createHeartbeatState, identityOf } from './HeartbeatState.js';
import type { Heartbeat } from './peers/PeerMessages.js';
import { PeerClients } from './peers/PeerClients.js';
import { createPeerRouter } from './peers/PeerRouter.js';
import { PeerServer } from './peers/PeerServer.js';
import { PeerView } from './peers/PeerView.js';

/** Interval of checks for delayed removals and departures of servers, in ms. */
const DELAYED_CHANGE_INTERVAL_MS = 100;

/**
 * Time after readiness fails until the load balancer stops sending connections, in ms: two failed
 * readiness checks.
 */
const BALANCER_STOP_DELAY_MS = 2600;

/** A stopping process ends its remaining requests this long before SIGKILL, in ms. */
const EXIT_MARGIN_MS = 600;

/** Interval at which a stopping process checks for running requests, in ms. */
const STOP_CHECK_INTERVAL_MS = 50;

/** One process that serves callers, batches stages and exchanges state with its peers. */
export class ServingProcess {
  private readonly directory: ServerDirectory;

  private readonly configuration: ConfigurationView;

  private readonly registrations: RegistrationView;

  private readonly batcher: StageBatcher;

  private readonly peerView: PeerView;

  private readonly peerClients: PeerClients;

  private readonly channelServer: ChannelServer;

  private readonly observations: ServerObservations;

  private readonly crashCauseTable: CrashCauseTable;

  private readonly streamTable: StreamOriginTable;

  private readonly ingress: Ingress;

  private readonly readinessServer: ReadinessServer;

  private readonly peerServer: PeerServer;

  private readonly followers: StoreFollowers;

  private readonly storeEra = new StoreEra();

  private readonly connections: BackendConnections;

  private readonly membership: Membership;

  /** The part of heartbeats that does not change. */
  private readonly identity: ReturnType<typeof identityOf>;

  private delayedChangeTimer: NodeJS.Timeout | undefined;

  private isStopping = false;

  /** Time at which a stop ends the remaining requests, on the clock. */
  private stopsAt = Infinity;

  /** Resolves when no request is left; undefined until {@link stop} is called. */
  private stopping: Promise<void> | undefined;

  constructor(private readonly options: ServingProcessOptions) {
    const { clock, logger, settings, protocol, metrics } = options;
    this.identity = identityOf(settings, clock.wallTime());
    this.peerClients = new PeerClients(logger);
    const shares = new ServerShares({
      clock,
      settings,
      isLeaving: () => this.isStopping,
      peerView: () => this.peerView,
      routeTable: () => this.configuration.routeTable,
    });
    this.configuration = new ConfigurationView(clock, options.decoder, logger);
    const streamLifetimeMs = () =>
      this.configuration.routeTable?.streamLifetimeMs ?? MIN_STREAM_LIFETIME_MS;
    this.observations = new ServerObservations({
      clock,
      logger,
      protocol,
      random: options.random,
      departureBounds: departureBoundsOf(settings.servers),
      limitShareOf: (server, requestsPerS) => shares.limitShareOf(server, requestsPerS),
      cold: shares.coldServices,
      announce: () => this.peerServer.announce(),
      streamLifetimeMs,
    });
    const { statements, evacuations } = this.observations;
    const { departures } = statements;
    registerStateGauges(metrics, this.observations, this.storeEra, () => this.configuration.state);
    registerLoadGauges(metrics, () => this.peerView.batchedServices.length);
    const isKnownService = (service: string) => {
      const { routeTable: routes } = this.configuration;
      return routes === undefined || routes.service(service) !== undefined;
    };
    this.directory = new ServerDirectory(clock, departures, isKnownService, evacuations);
    evacuations.onChanged(() => this.batcher.updateServers());
    departures.onChanged(() => this.batcher.updateServers());
    departures.onEnded(() => this.batcher.updateServers());
    this.registrations = new RegistrationView(
      clock,
      this.directory,
      options.decoder,
      logger,
      () => this.batcher.updateServers(),
      () => serverDeliveryTimeoutMs(this.peerView.processCount),
    );
    this.peerView = new PeerView(
      clock,
      () => this.createHeartbeat(),
      () => this.configuration.routeTable?.stageServices ?? [],
    );
    const { ratio, slack, windowSeconds } = settings.retryBudget;
    const processCount = () => this.peerView.processCount;
    const allowance = { ratio, slack, windowMs: windowSeconds * 1000 };
    const retryBudgets = new RetryBudgets(clock, allowance, processCount);
    const routeTable = () => this.configuration.routeTable;
    this.connections = new BackendConnections(clock, {
      maxConnections: (service) => routeTable()?.service(service)?.maxConnections ?? 1,
      processCount,
      responses: settings.responseLimits,
      ...serverConnectionLimits(settings),
      traffic: this.observations,
    });
    const { connections } = this;
    const commonServices = {
      clock,
      logger,
      protocol,
      connections,
      directory: this.directory,
      routeTable,
    };
    this.batcher = new StageBatcher({
      ...commonServices,
      retryBudgets,
      statements,
      crashes: this.observations.requestCrashes,
    });
    const stageClient = new StageClient({
      ownId: settings.id,
      clock,
      logger,
      batcher: this.batcher,
      peerClients: this.peerClients,
      peerView: this.peerView,
    });
    this.followers = new StoreFollowers({
      createFeed: () => options.createFeed(settings.store),
      logger,
      fleet: () => this.peerView.fleetPosition,
      random: options.random,
      storeEra: this.storeEra,
    });
    this.streamTable = createStreamTable({
      clock,
      logger,
      feed: this.followers.openFeed(),
      table: options.names.streamTable,
      ownId: settings.id,
      lifetimeMs: streamLifetimeMs,
      observations: this.observations,
      storeEra: this.storeEra,
      peerView: this.peerView,
      isLeaving: () => this.isStopping,
    });
    const servingMetrics = new ServingMetrics(metrics);
    const runner = createRequestRunner({
      ...commonServices,
      metrics: servingMetrics,
      failureDomain: settings.failureDomain,
      observations: this.observations,
      stageClient,
      streamTable: this.streamTable,
      retryBudgets,
      peerView: this.peerView,
      random: options.random,
      secondSends: settings.secondSends,
    });
    this.ingress = new Ingress({
      clock,
      logger,
      protocol,
      metrics: servingMetrics,
      clients: createClientHandling(options),
      routeTable,
      isStopping: () => this.isStopping,
      stopsAt: () => this.stopsAt,
      serve: (request) => runner.run(request),
    });
    followServers(this.directory, this.observations, connections, logger);
    this.configuration.onChanged((routes) => {
      this.ingress.applyLimits(routes.configuration.limits);
      this.batcher.updateServers();
    });
    this.readinessServer = new ReadinessServer(() => this.isReady);
    this.channelServer = new ChannelServer(
      {
        runStage: (request, cancellation) =>
          this.batcher.run(request.service, toStageTask(request, clock.now()), cancellation),
        release: (handles) => this.batcher.releaseResults(handles),
      },
      logger,
    );
    this.membership = new Membership({
      clock,
      ownRow: { id: settings.id, address: this.identity.address },
      table: options.names.memberTable,
      feed: this.followers.openFeed(),
      logger,
      random: options.random,
      peerClients: this.peerClients,
      peerView: this.peerView,
      configuration: this.configuration,
      registrations: this.registrations,
      observations: this.observations,
      storeEra: this.storeEra,
      processShares: shares.processes,
    });
    this.crashCauseTable = new CrashCauseTable({
      table: options.names.crashCauseTable,
      feed: this.followers.openFeed(),
      logger,
      random: options.random,
      kinds: storedCrashCauses(this.observations, clock),
    });
    this.peerServer = new PeerServer({
      ip: settings.ip,
      port: settings.internalPorts[0],
      router: createPeerRouter({
        configuration: (query) => this.configuration.snapshotFor(query),
        registrations: () => this.registrations.snapshot,
      }),
      metrics,
      logger,
      heartbeat: () => this.createHeartbeat(),
      onHeartbeatSent: () => this.observations.recordHeartbeatSent(),
      peerAddresses: () => this.membership.addresses,
      onHeartbeat: (heartbeat) => this.membership.handleHeartbeat(heartbeat),
    });
  }

  /** Whether callers can be served. */
  get isReady(): boolean {
    const { configuration, directory, observations } = this;
    const isInformed = configuration.routeTable !== undefined && observations.evacuations.isKnown;
    return !this.isStopping && isInformed && directory.size > 0;
  }

  /** Version of the configuration in force; -1 for none. */
  get configurationVersion(): number {
    return this.configuration.version;
  }

  /** Number of backend servers known. */
  get serverCount(): number {
    return this.directory.size;
  }

  /** Number of other processes that are alive. */
  get livePeerCount(): number {
    return this.peerView.processCount - 1;
  }

  /** @returns whether this process batches the stage service for all processes */
  isBatching(service: string): boolean {
    return this.peerView.batchingProcess(service).id === this.options.settings.id;
  }

  /** @returns number of backend servers of the service that may receive new work */
  usableServerCount(service: string): number {
    return this.directory.usable(service).length;
  }

  /** Starts to listen, to follow the store and to announce this process to its peers. */
  async start(): Promise<void> {
    const { settings, names, logger } = this.options;
    await this.peerServer.start();
    await this.channelServer.listen(settings.ip, settings.internalPorts[1]);
    await this.readinessServer.listen(settings.listen.readiness);
    const callers = parseSocketAddress(settings.listen.callers);
    await this.ingress.listen(callers.ip, callers.port);
    followStoreTables(this.followers, names, {
      configuration: this.configuration,
      evacuations: this.observations.evacuations,
      registrations: this.registrations,
      membership: this.membership,
      crashCauseTable: this.crashCauseTable,
    });
    this.delayedChangeTimer = setInterval(() => {
      this.observations.check();
      this.expireRemovals();
    }, DELAYED_CHANGE_INTERVAL_MS);
    this.membership
      .announce()
      .catch((error: unknown) => logger.error('announcing the member row failed', { error }));
    logger.info('started', { id: settings.id, incarnation: this.identity.incarnation });
  }

  /**
   * Stops accepting requests and finishes the running ones.
   * @returns resolves when no request is left; the same promise for each call
   */
  stop(): Promise<void> {
    this.stopping ??= this.drainRequests();
    return this.stopping;
  }

  private async drainRequests(): Promise<void> {
    const wasReady = this.isReady;
    this.isStopping = true;
    const { clock, logger, settings } = this.options;
    this.stopsAt = clock.now() + settings.shutdown.graceSeconds * 1000 - EXIT_MARGIN_MS;
    logger.info('stopping', { running: this.ingress.requestsRunning });
    this.peerServer.sendHeartbeat();
    this.membership
      .withdraw()
      .catch((error: unknown) => logger.warn('member row not removed', { error }));
    // The load balancer sends no connections to a process that was not ready, for example at start.
    if (wasReady) await sleep(BALANCER_STOP_DELAY_MS);
    while (clock.now() < this.stopsAt) {
      this.ingress.stopAccepting();
      // Peers whose stages this process batches would have to run them again.
      if (this.ingress.requestsRunning === 0 && this.batcher.isIdle) break;
      await sleep(STOP_CHECK_INTERVAL_MS);
    }
    logger.info('stopped', { running: this.ingress.requestsRunning });
    await this.ingress.endPendingRequests();
  }

  /** Stops immediately without finishing requests, as if the process were killed. */
  async dispose(): Promise<void> {
    clearInterval(this.delayedChangeTimer);
    this.membership.dispose();
    this.crashCauseTable.dispose();
    this.streamTable.dispose();
    this.peerServer.dispose();
    this.channelServer.dispose();
    this.peerClients.dispose();
    this.batcher.dispose();
    this.ingress.dispose();
    this.readinessServer.dispose();
    await this.followers.dispose();
    this.connections.dispose();
  }

  private expireRemovals(): void {
    const before = this.directory.size;
    this.directory.applyDueRemovals();
    if (this.directory.size !== before) this.batcher.updateServers();
  }

  private createHeartbeat(): Heartbeat {
    const { configuration, registrations, batcher, observations } = this;
    return {
      ...this.identity,
      isLeaving: this.isStopping,
      ...createHeartbeatState({ configuration, registrations, batcher, observations }),
    };
  }
}
