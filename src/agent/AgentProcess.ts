import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { AttemptStateMachine } from '../common/attempts/AttemptStateMachine.js';
import { UsageMeter } from '../common/attempts/UsageMeter.js';
import type { Disposable } from '../common/events/Types.js';
import type { Attempt } from '../common/protocol/Attempt.js';
import { SeededRandom } from '../common/time/SeededRandom.js';
import {
  createTimeoutSignal,
  createClientLookup,
  createPeerLookup,
} from '../follower/ConfigurationClients.js';
import type { EntryRouter } from '../entry/EntryRouter.js';
import { ConfigurationFollower } from '../follower/ConfigurationFollower.js';
import { LedgerWriter } from '../ledger/LedgerWriter.js';
import { HttpMembershipList } from '../storage/HttpMembershipList.js';
import { HttpObjectStore } from '../storage/HttpObjectStore.js';
import { HttpTableStore } from '../storage/HttpTableStore.js';
import { SystemClock } from '../storage/SystemClock.js';
import { createLogger, type Logger } from '../telemetry/Logger.js';
import { observeConfiguration } from '../follower/ConfigurationMetrics.js';
import { createMetrics } from '../telemetry/Metrics.js';
import { createTracing } from '../telemetry/Tracing.js';
import { AgentServer } from './AgentServer.js';
import { AgentService } from './AgentService.js';
import type { AgentSettings } from './AgentSettings.js';
import { AttemptEndpoint } from './AttemptEndpoint.js';
import { AttemptRunner } from './AttemptRunner.js';
import { AttemptTelemetry } from './AttemptTelemetry.js';
import { HttpBackend } from './backend/HttpBackend.js';
import { ClaimWriter } from './claims/ClaimWriter.js';
import { DrainState } from './DrainState.js';
import { AttemptActor } from './AttemptActor.js';
import { OrderControl } from './orders/OrderControl.js';
import type { AgentIdentity } from './Types.js';

/** Interval at which waiting and running attempts are compared with their deadlines. */
const DEADLINE_CHECK_INTERVAL_MS = 50;

const RETENTION_CHECK_INTERVAL_MS = 1000;

const SHUTDOWN_POLL_MS = 20;

const UINT32_RANGE = 2 ** 32;

/** One agent process: creates its components from the settings, starts them and shuts them down. */
export class AgentProcess {
  private readonly clock = new SystemClock();

  private readonly identity: AgentIdentity;

  private readonly logger: Logger;

  private readonly metrics = createMetrics();

  private readonly tracing;

  private readonly configuration: ConfigurationFollower;

  private readonly ledger: LedgerWriter;

  private readonly claims: ClaimWriter;

  private readonly backend: HttpBackend;

  private readonly stateMachine: AttemptStateMachine;

  private readonly actor: AttemptActor;

  private readonly drainState: DrainState;

  private readonly service: AgentService;

  private readonly endpoint: AttemptEndpoint;

  private readonly server: AgentServer;

  private readonly orders: OrderControl | null;

  private readonly disposables: Disposable[] = [];

  private stopping: Promise<void> | null = null;

  /** @param settings - validated settings */
  constructor(private readonly settings: AgentSettings) {
    const { clock } = this;
    const incarnation = randomUUID();
    const random = new SeededRandom(Number.parseInt(incarnation.slice(0, 8), 16) % UINT32_RANGE);
    this.identity = { agentId: settings.id, incarnation, address: settings.address };
    this.logger = createLogger(settings.id, settings.log.level);
    this.tracing = createTracing(settings.id, settings.tracing);
    const store = new HttpTableStore(settings.platform.tableUrl);
    const objects = new HttpObjectStore(settings.platform.objectUrl);
    this.configuration = this.createFollower(store, random);
    this.ledger = new LedgerWriter({
      store,
      clock,
      writer: 'agent',
      writerId: settings.id,
      incarnation,
      flushIntervalMs: settings.ledger.flushIntervalMs,
      logger: this.logger,
    });
    const onExternalChange = (key: string) =>
      this.logger.warn('claim row was changed by another process', { key });
    this.claims = new ClaimWriter({ store, objects, clock, random, onExternalChange });
    this.backend = new HttpBackend(settings.backend.url, clock);
    const { slots, maxWaiting } = settings.backend;
    const { retentionMs } = settings.results;
    this.stateMachine = new AttemptStateMachine({ slots, maxWaiting, retentionMs }, clock);
    this.actor = this.createActor();
    this.drainState = new DrainState(settings.backend.id);
    this.service = new AgentService({
      settings,
      identity: this.identity,
      stateMachine: this.stateMachine,
      actor: this.actor,
      drainState: this.drainState,
      configuration: this.configuration,
      logger: this.logger,
    });
    this.orders = settings.orders
      ? new OrderControl({
          settings,
          orders: settings.orders,
          identity: this.identity,
          store,
          clock,
          logger: this.logger,
        })
      : null;
    this.endpoint = this.createEndpoint();
    this.server = new AgentServer({
      internalToken: settings.internalToken,
      control: this.service,
      handleAttempt: (request, response) => this.endpoint.handle(request, response),
      handleMetrics: (request, response) => this.metrics.handle(request, response),
      isReady: () => this.configuration.ready && this.stopping === null,
      logger: this.logger,
    });
  }

  /**
   * Starts listening and following the configuration.
   * @returns id, address in use and incarnation, for the line that the process prints at start
   */
  async start(): Promise<{ id: string; address: string; incarnation: string }> {
    this.identity.address = await this.server.listen(this.settings.address);
    this.disposables.push(
      this.configuration.onChange((snapshot) => {
        this.drainState.applyConfiguration(snapshot);
        this.service
          .applyDrainState()
          .catch((error: unknown) =>
            this.logger.error('applying the drain state failed', { error }),
          );
      }),
      startInterval(DEADLINE_CHECK_INTERVAL_MS, () => {
        if (this.stateMachine.active > 0) this.actor.send({ type: 'check-deadlines' });
      }),
      startInterval(RETENTION_CHECK_INTERVAL_MS, () =>
        this.actor.send({ type: 'expire-retained' }),
      ),
    );
    this.configuration
      .start()
      .catch((error: unknown) => this.logger.error('reading the configuration failed', { error }));
    this.orders?.start();
    const { agentId, address, incarnation } = this.identity;
    return { id: agentId, address, incarnation };
  }

  /**
   * Shuts down: refuses new and waiting attempts, waits until running ones have finished and their
   * results were acknowledged, writes the ledger and closes all components. The waits end at the
   * shutdown deadline.
   * @returns resolves when everything is closed
   */
  stop(): Promise<void> {
    this.stopping ??= this.shutDown();
    return this.stopping;
  }

  private async shutDown(): Promise<void> {
    const deadline = this.clock.now() + this.settings.shutdown.deadlineMs;
    this.drainState.beginShutdown();
    await this.service.applyDrainState();
    this.logger.info('draining', { attempts: this.stateMachine.size });
    const isDone = () => this.stateMachine.size === 0 && this.endpoint.openStreamCount === 0;
    while (!isDone() && this.clock.now() < deadline) await sleep(SHUTDOWN_POLL_MS);
    if (this.stateMachine.size > 0)
      this.logger.warn('attempts are left', { attempts: this.stateMachine.size });
    await this.actor.ask<void>((reply) => ({ type: 'meter-unacknowledged', reply }));
    await this.orders?.stop();
    await this.flushLedger(deadline);
    this.disposables.forEach((disposable) => disposable.dispose());
    this.endpoint.dispose();
    this.configuration.dispose();
    this.ledger.dispose();
    this.claims.dispose();
    this.actor.dispose();
    await this.server.close();
    await this.backend.close();
    await this.tracing.shutdown();
    await this.metrics.shutdown();
  }

  private async flushLedger(deadline: number): Promise<void> {
    while (!(await this.ledger.flush())) {
      if (this.clock.now() >= deadline) {
        this.logger.warn('usage is left unwritten', { counters: this.ledger.size });
        return;
      }
      await sleep(SHUTDOWN_POLL_MS);
    }
  }

  private createFollower(store: HttpTableStore, random: SeededRandom): ConfigurationFollower {
    const { settings } = this;
    return new ConfigurationFollower({
      store,
      clock: this.clock,
      random,
      pollIntervalMs: settings.configuration.pollIntervalMs,
      peers: createPeerLookup({
        ownId: settings.id,
        membership: new HttpMembershipList(settings.platform.membershipUrl, this.logger),
        addresses: settings.peers,
        internalToken: settings.internalToken,
      }),
      logger: this.logger,
    });
  }

  private createActor(): AttemptActor {
    const { identity, claims, backend, ledger, clock, logger } = this;
    const meter = new UsageMeter(identity, clock);
    const telemetry = new AttemptTelemetry(this.tracing, this.metrics, clock);
    observeConfiguration(this.metrics.meter, this.configuration);
    telemetry.observeAttempts(this.stateMachine);
    const runner = new AttemptRunner(
      { identity, claims, backend, meter, ledger, telemetry, logger },
      (message) => actor.send(message),
    );
    const actor: AttemptActor = new AttemptActor(
      this.stateMachine,
      (effect) => runner.execute(effect),
      this.logger,
    );
    return actor;
  }

  private createEndpoint(): AttemptEndpoint {
    const { configuration, identity } = this;
    const clientOf = createClientLookup<EntryRouter>(this.settings.internalToken);
    return new AttemptEndpoint({
      actor: this.actor,
      configuration,
      frameContext: {
        incarnation: identity.incarnation,
        notice: () => configuration.notice(),
        load: () => this.stateMachine.load(),
      },
      pullChangesFrom: (attempt: Attempt) => async (after) => {
        const { sender } = attempt;
        if (sender === undefined) return [];
        const since = clientOf(sender).configuration.since;
        const { changes } = await since.query({ after }, { signal: createTimeoutSignal() });
        return changes;
      },
    });
  }
}

function startInterval(intervalMs: number, action: () => void): Disposable {
  const timer = setInterval(action, intervalMs);
  return { dispose: () => clearInterval(timer) };
}
