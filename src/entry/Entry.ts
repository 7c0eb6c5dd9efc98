import type { Clock, RandomSource } from '../common/time/Types.js';
import type { Instance } from '../common/protocol/Membership.js';
import type { EntryControl } from '../common/protocol/Control.js';
import { estimateStages } from '../common/routing/Feasibility.js';
import { RetryBudget } from '../common/routing/RetryBudget.js';
import { Router } from '../common/routing/Router.js';
import { observeConfiguration } from '../follower/ConfigurationMetrics.js';
import type { ConfigurationSource } from '../follower/Types.js';
import type { MembershipList, ObjectStore, TableStore } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Metrics } from '../telemetry/Metrics.js';
import type { Tracing } from '../telemetry/Tracing.js';
import { AgentClient } from './AgentClient.js';
import { AgentDirectory } from './AgentDirectory.js';
import { CallerApi } from './CallerApi.js';
import { ClaimSettler } from './ClaimSettler.js';
import { EntryTelemetry } from './EntryTelemetry.js';
import { createEntryRouter } from './EntryRouter.js';
import { EntryServer, type Handler } from './EntryServer.js';
import type { EntrySettings } from './EntrySettings.js';
import { SchemaValidator } from './SchemaValidator.js';
import { StageRunner } from './StageRunner.js';
import type { UsageRecorder } from './Types.js';

/** Time to send remaining responses to other processes after the last caller request ended. */
const FINAL_RESPONSES_MS = 25;

/** Initial retry budget, because a restarted entry may find failing servers right away. */
const INITIAL_RETRIES = 10;

/** Interval of probes to agents that could not be reached. */
const PROBE_INTERVAL_MS = 500;

/** Attempt id of probes; no attempt has this id. */
const PROBE_ATTEMPT_ID = 'probe';

/** Services and settings of an entry; tests replace the services. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: ConfigurationSource;
  readonly membership: MembershipList;
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly ledger: UsageRecorder;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  /** Handler of paths under `/v1/operator/`. */
  readonly operators: (control: EntryControl) => Handler;
}

/**
 * One entry instance. Serves the caller, operator and internal APIs, and connects routing, stage
 * execution, ledger and telemetry.
 */
export class Entry {
  private readonly directory: AgentDirectory;

  private readonly agents: AgentClient;

  private readonly router: Router;

  private readonly callerApi: CallerApi;

  private readonly telemetry: EntryTelemetry;

  private probeTimer: NodeJS.Timeout | null = null;

  private readonly server: EntryServer;

  private stopping = false;

  /** Time at which a shutdown cuts requests off, on the clock. */
  private stopsAt = Infinity;

  private address: string;

  constructor(private readonly options: EntryOptions) {
    const { settings, clock, configuration } = options;
    this.address = settings.address;
    const { pollIntervalMs } = settings.membership;
    this.directory = new AgentDirectory(options.membership, pollIntervalMs, options.random);
    this.agents = new AgentClient({
      clock,
      internalToken: settings.internalToken,
      sender: () => this.address,
      notice: () => configuration.notice(),
      onNotice: (notice, pull) => configuration.receiveNotice(notice, pull),
    });
    const { policy } = settings;
    this.router = new Router({
      clock,
      random: options.random,
      location: { failureDomain: settings.failureDomain, region: settings.region },
      policy,
      serversOf: (pool) => this.directory.serversOf(pool),
    });
    const executor = new StageRunner({
      clock,
      agents: this.agents,
      router: this.router,
      retryBudget: new RetryBudget(policy.retryBudget, INITIAL_RETRIES),
      hedgeBudget: policy.hedging ? new RetryBudget(policy.hedgeBudget, 0) : null,
      claims: new ClaimSettler({
        agents: this.agents,
        table: options.table,
        objects: options.objects,
      }),
      schemas: new SchemaValidator(),
      ledger: options.ledger,
    });
    this.telemetry = new EntryTelemetry(clock, options.tracing, options.metrics, options.logger);
    observeConfiguration(options.metrics.meter, options.configuration);
    this.callerApi = new CallerApi({
      entryId: settings.id,
      clock,
      configuration,
      executor,
      telemetry: this.telemetry,
      estimate: policy.feasibility
        ? ({ template, stages }) => estimateStages(this.router, template, stages)
        : () => ({ expectedMs: 0, waitMs: 0 }),
      stopsAt: () => this.stopsAt,
    });
    const control = this.createControl();
    this.server = new EntryServer({
      address: settings.address,
      internalToken: settings.internalToken,
      router: createEntryRouter(control),
      callers: (request, response) => this.callerApi.handle(request, response),
      operators: options.operators(control),
      metrics: (request, response) => options.metrics.handle(request, response),
      findNotReadyReasons: () => this.findNotReadyReasons(),
      logger: options.logger,
    });
  }

  /**
   * Starts polling the membership list and listening for connections.
   * @returns `ip:port` that the entry listens on
   */
  async start(): Promise<string> {
    this.directory.start();
    this.probeTimer = setInterval(() => this.maintainRouter(), PROBE_INTERVAL_MS);
    this.address = await this.server.listen();
    return this.address;
  }

  /**
   * Shuts down without interrupting requests. Fails the readiness check and keeps serving until the
   * load balancer has reacted, then closes the listener and waits for running requests. Refuses
   * requests whose deadline is later than the end of the shutdown.
   * @returns false if requests were still running at the shutdown deadline
   */
  async stop(): Promise<boolean> {
    const { shutdown } = this.options.settings;
    this.stopping = true;
    this.stopsAt = this.options.clock.now() + shutdown.balancerDelayMs + shutdown.deadlineMs;
    await sleep(shutdown.balancerDelayMs);
    this.server.stopListening();
    const finished = await Promise.race([
      this.callerApi.whenIdle().then(() => true),
      sleep(shutdown.deadlineMs).then(() => false),
    ]);
    await sleep(FINAL_RESPONSES_MS);
    this.server.closeAllConnections();
    await this.dispose();
    return finished;
  }

  private async dispose(): Promise<void> {
    if (this.probeTimer) clearInterval(this.probeTimer);
    this.callerApi.dispose();
    this.directory.dispose();
    await this.agents.close();
    await this.options.ledger.flush();
    this.options.ledger.dispose();
    this.options.configuration.dispose();
    await this.options.tracing.shutdown();
    await this.options.metrics.shutdown();
  }

  /** Probes unreachable agents and drops the state of agents that are no longer listed. */
  private maintainRouter(): void {
    const agents = this.directory.allInstances().filter(({ role }) => role === 'agent');
    this.router.removeUnlisted(new Set(agents.map(({ id }) => id)));
    for (const agentId of this.router.unreachableAgents()) {
      const agent = agents.find(({ id }) => id === agentId);
      if (agent) this.probeAgent(agent);
    }
  }

  private probeAgent(agent: Instance): void {
    this.agents
      .status(agent.address, PROBE_ATTEMPT_ID, PROBE_INTERVAL_MS)
      .then((status) => {
        if (status) this.router.readmit(agent.id);
      })
      .catch(() => undefined);
  }

  private findNotReadyReasons(): string[] {
    const reasons: string[] = [];
    if (!this.options.configuration.ready) reasons.push('no configuration revision is known');
    if (!this.directory.ready) reasons.push('the membership list was not read yet');
    if (this.stopping) reasons.push('shutting down');
    return reasons;
  }

  private createControl(): EntryControl {
    const { configuration, settings } = this.options;
    return {
      configuration,
      explanation: async (requestId) => this.telemetry.explain(requestId),
      status: async () => ({
        entryId: settings.id,
        notice: configuration.notice(),
        requestsRunning: this.callerApi.requestsRunning,
        ready: this.findNotReadyReasons().length === 0,
        servers: this.directory
          .allInstances()
          .filter(({ role }) => role === 'agent')
          .map(({ id, pool, state }) => ({
            agentId: id,
            pool: pool ?? '',
            state: state === 'leaving' ? state : this.router.statusOf(id),
          })),
      }),
    };
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    // A timer that lost a race must not keep the process alive.
    setTimeout(resolve, ms).unref();
  });
}
