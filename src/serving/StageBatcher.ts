import { dispatch, spawn, start, stop, type Ref } from 'nact';
import type { Cancellation } from '../common/events/Cancellation.js';
import type { Clock } from '../common/time/Types.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { ServerStatements } from '../common/serving/ServerStatements.js';
import { countOutcomes } from '../common/serving/PieceOutcomes.js';
import type { StageLoad } from '../common/serving/StageLoad.js';
import { StageQueue } from '../common/serving/StageQueue.js';
import type {
  CallOutcome,
  EndedTask,
  PlannedCall,
  StageTask,
  TaskOutcome,
} from '../common/serving/Types.js';
import type { RouteTable } from '../common/serving/RouteTable.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { BackendConnections } from './BackendConnections.js';
import { ResultReleases } from './ResultReleases.js';
import type { RequestCrashes } from './RequestCrashes.js';
import { StageCaller, type EndedCall } from './StageCaller.js';
import type { ServingProtocol } from './Types.js';

/**
 * Input bytes of all pieces of a task from which on the task prefers the failure domain of its
 * inputs; below that, transfers between failure domains cost little.
 */
const LOCALITY_THRESHOLD_BYTES = 500_000;

/** Interval of checks for expired tasks and for servers whose pause has ended, in ms. */
const TICK_INTERVAL_MS = 20;

/** Time for which the loads of the services are reused, in ms: every admission asks for them. */
const LOAD_LIFETIME_MS = 50;

type BatcherMessage =
  | {
      readonly type: 'submit';
      readonly service: string;
      readonly task: StageTask;
      readonly onEnd: (outcome: TaskOutcome) => void;
    }
  | { readonly type: 'cancel'; readonly service: string; readonly task: StageTask }
  | {
      readonly type: 'call-ended';
      readonly service: string;
      readonly callId: number;
      readonly outcome: CallOutcome;
    }
  | { readonly type: 'release'; readonly handles: readonly string[] }
  | {
      readonly type: 'released';
      readonly server: BackendServer;
      readonly handles: readonly string[];
    }
  | { readonly type: 'advance'; readonly service: string }
  | { readonly type: 'tick' }
  | { readonly type: 'refresh' };

type Handlers = {
  readonly [Type in BatcherMessage['type']]: (
    message: Extract<BatcherMessage, { type: Type }>,
  ) => void;
};

/** Dependencies of {@link StageBatcher}. */
export interface StageBatcherServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly directory: ServerDirectory;
  readonly connections: BackendConnections;
  readonly protocol: ServingProtocol;
  /** @returns routes and services of the configuration in force; undefined before the first one */
  readonly routeTable: () => RouteTable | undefined;
  /** Limits retries of pieces to a share of the requests for their service. */
  readonly retryBudgets: RetryBudgets;
  /** What the servers say of themselves. */
  readonly statements: ServerStatements;
  /** Requests under which servers ended. */
  readonly crashes: RequestCrashes;
}

/**
 * Batches the pieces of stages into calls to backend servers. The queues belong to a single actor,
 * which handles one message at a time.
 */
export class StageBatcher {
  private readonly queues = new Map<string, StageQueue>();

  private readonly listeners = new Map<string, (outcome: TaskOutcome) => void>();

  private readonly taskIds = new Map<StageTask, number>();

  private readonly releases: ResultReleases;

  private readonly system = start();

  private readonly actor: Ref<BatcherMessage>;

  private readonly caller: StageCaller;

  private readonly ticker: NodeJS.Timeout;

  private currentLoads?: { at: number; byService: Record<string, StageLoad> };

  private readonly planTimers = new Map<string, NodeJS.Timeout>();

  private readonly handlers: Handlers = {
    submit: ({ service, task, onEnd }) => this.submit(service, task, onEnd),
    cancel: ({ service, task }) => this.cancel(service, task),
    'call-ended': ({ service, callId, outcome }) => {
      const queue = this.queues.get(service);
      if (queue) this.notifyListeners(service, queue.finishCall(callId, outcome));
      this.advance(service);
    },
    release: ({ handles }) => this.releases.add(handles),
    released: ({ server, handles }) => {
      this.queues.get(server.service)?.release(server.id, handles);
      this.advance(server.service);
    },
    advance: ({ service }) => this.advance(service),
    tick: () => this.queues.forEach((queue, service) => !queue.isEmpty && this.advance(service)),
    refresh: () => this.refresh(),
  };

  constructor(private readonly services: StageBatcherServices) {
    this.caller = new StageCaller(services);
    this.releases = new ResultReleases(services, (server, handles) =>
      this.send({ type: 'released', server, handles }),
    );
    this.actor = spawn(
      this.system,
      (_state: undefined, message: BatcherMessage) => {
        this.handle(message);
        return undefined;
      },
      'stage-batcher',
      {
        onCrash: (message, error, supervision) => {
          services.logger.error('stage batcher failed to handle a message', {
            type: message?.type,
            error,
          });
          return supervision.resume;
        },
      },
    );
    this.ticker = setInterval(() => this.send({ type: 'tick' }), TICK_INTERVAL_MS);
  }

  /**
   * Runs all pieces of one stage of a request.
   * @param service - stage service
   * @param task - pieces to run
   * @param cancellation - cancels the pieces that have not been sent
   * @returns handles of the results, or the reason for the failure
   */
  run(service: string, task: StageTask, cancellation: Cancellation): Promise<TaskOutcome> {
    return new Promise((resolve) => {
      const onEnd = (outcome: TaskOutcome) => {
        subscription.dispose();
        resolve(outcome);
      };
      const subscription = cancellation.onCancelled(() => {
        this.send({ type: 'cancel', service, task });
        resolve({ kind: 'failed' });
      });
      if (!cancellation.isCancelled) this.send({ type: 'submit', service, task, onEnd });
    });
  }

  /** Releases results that are no longer needed, so that servers can free their memory. */
  releaseResults(handles: readonly string[]): void {
    if (handles.length > 0) this.send({ type: 'release', handles });
  }

  /** Updates the queues after a change of the configuration or of the registered servers. */
  updateServers(): void {
    this.send({ type: 'refresh' });
  }

  /** Whether no stage is running or waiting, for this process or its peers. */
  get isIdle(): boolean {
    return this.listeners.size === 0;
  }

  /** @returns time until all pieces waiting now could be started, by service, in ms */
  backlogs(): Record<string, number> {
    return Object.fromEntries(
      [...this.queues].map(([service, queue]) => [service, queue.backlogMs]),
    );
  }

  /** @returns load of each service that this process batches */
  loads(): Record<string, StageLoad> {
    const now = this.services.clock.now();
    if (!this.currentLoads || now - this.currentLoads.at >= LOAD_LIFETIME_MS) {
      const loads = [...this.queues].map(([service, { load }]) => [service, load] as const);
      this.currentLoads = { at: now, byService: Object.fromEntries(loads) };
    }
    return this.currentLoads.byService;
  }

  dispose(): void {
    clearInterval(this.ticker);
    stop(this.system);
  }

  private send(message: BatcherMessage): void {
    dispatch(this.actor, message);
  }

  private handle(message: BatcherMessage): void {
    const handler = this.handlers[message.type] as (value: BatcherMessage) => void;
    handler(message);
  }

  private submit(service: string, task: StageTask, onEnd: (outcome: TaskOutcome) => void): void {
    const queue = this.queueOf(service);
    if (!queue) {
      onEnd({ kind: 'failed' });
      return;
    }
    if (!queue.canEnd(task)) {
      onEnd({ kind: 'expired' });
      return;
    }
    const ended = queue.makeRoom(task.pieces);
    if (!ended) {
      onEnd({ kind: 'failed' });
      return;
    }
    this.notifyListeners(service, ended);
    this.services.retryBudgets.of(service).recordRequest();
    const preferredDomain = this.inputDomainOf(task) ?? task.preferredDomain;
    const taskId = queue.add({
      ...task,
      ...(preferredDomain !== undefined && { preferredDomain }),
    });
    this.taskIds.set(task, taskId);
    this.listeners.set(listenerKey(service, taskId), (outcome) => {
      this.taskIds.delete(task);
      onEnd(outcome);
    });
    // While all servers are busy, the ticker removes tasks that cannot finish: sorting the whole
    // queue for each arrival would cost most when the load is highest.
    if (queue.canStartCall) this.advance(service);
  }

  /**
   * Every piece reads all inputs, so remote inputs are transferred once per piece.
   * @returns failure domain in use that holds most inputs; undefined if transfers are too small to
   *   matter
   */
  private inputDomainOf({ inputs, pieces, inputBytes }: StageTask): string | undefined {
    if (pieces * inputBytes < LOCALITY_THRESHOLD_BYTES) return undefined;
    const { directory, protocol } = this.services;
    const counts = new Map<string, number>();
    inputs.forEach((handle) => {
      const server = directory.findByAddress(protocol.addressOfResult(handle));
      if (!server || directory.isEvacuated(server)) return;
      counts.set(server.failureDomain, (counts.get(server.failureDomain) ?? 0) + 1);
    });
    const [most] = [...counts].sort(([, left], [, right]) => right - left);
    return most?.[0];
  }

  private cancel(service: string, task: StageTask): void {
    const taskId = this.taskIds.get(task);
    if (taskId === undefined) return;
    this.taskIds.delete(task);
    this.listeners.delete(listenerKey(service, taskId));
    this.releases.add(this.queues.get(service)?.cancel(taskId) ?? []);
  }

  private queueOf(service: string): StageQueue | undefined {
    const known = this.queues.get(service);
    if (known) return known;
    const capacity = this.services.routeTable()?.service(service)?.stage;
    if (!capacity) return undefined;
    const { clock, retryBudgets, statements, crashes } = this.services;
    const queue = new StageQueue(clock, capacity, {
      limits: statements,
      mayRetry: () => retryBudgets.of(service).trySpend(),
      mustRunAlone: ({ fingerprint }) =>
        fingerprint !== undefined && crashes.isSuspect(fingerprint, service),
    });
    queue.updateServers(this.services.directory.usable(service));
    this.queues.set(service, queue);
    return queue;
  }

  private refresh(): void {
    this.queues.forEach((queue, service) => {
      const capacity = this.services.routeTable()?.service(service)?.stage;
      if (capacity) queue.updateCapacity(capacity);
      queue.updateServers(this.services.directory.usable(service));
      this.advance(service);
    });
  }

  private advance(service: string): void {
    const queue = this.queues.get(service);
    if (!queue) return;
    this.notifyListeners(service, queue.removeExpired());
    const { directory, crashes } = this.services;
    if (directory.isServiceEvacuated(service)) {
      this.notifyListeners(service, queue.failWaiting());
    }
    if (crashes.hasFound) {
      const isRefused = ({ fingerprint }: StageTask) =>
        fingerprint !== undefined && crashes.find(fingerprint, service) !== undefined;
      this.notifyListeners(service, queue.failWaiting(isRefused));
    }
    this.releases.add(queue.removeOrphans());
    queue.plan().forEach((call) => {
      this.sendCall(service, call).catch((error: unknown) =>
        this.services.logger.error('stage call failed', { service, error }),
      );
    });
    this.schedulePlan(service, queue.nextPlanAt);
  }

  /** Plans calls again when the next one may start: the interval of the ticker is too coarse. */
  private schedulePlan(service: string, at: number | undefined): void {
    clearTimeout(this.planTimers.get(service));
    if (at === undefined) return;
    const delayMs = at - this.services.clock.now();
    if (delayMs <= 0) return;
    const timer = setTimeout(() => this.send({ type: 'advance', service }), delayMs);
    this.planTimers.set(service, timer);
  }

  private notifyListeners(service: string, ends: readonly EndedTask[]): void {
    ends.forEach(({ taskId, outcome }) => {
      const key = listenerKey(service, taskId);
      const listener = this.listeners.get(key);
      this.listeners.delete(key);
      if (listener) listener(outcome);
    });
  }

  /** Records what the end of a call shows about the requests that had pieces in it. */
  private recordCrash({ server, pieces }: PlannedCall, ended: EndedCall, runMs: number): void {
    const { crashes } = this.services;
    const fingerprints = () =>
      new Set(pieces.flatMap(({ task: { fingerprint } }) => fingerprint ?? []));
    if (ended.isConnectionLost) crashes.recordLost(server, fingerprints(), runMs);
    else if (ended.outcome.kind === 'answered') crashes.recordSurvived(server, fingerprints);
  }

  private async sendCall(service: string, call: PlannedCall): Promise<void> {
    const { clock, logger } = this.services;
    const { server, pieces, callId, expectedMs } = call;
    const startedAt = clock.now();
    const ended = await this.caller.send(call);
    const { outcome, cause } = ended;
    this.recordCrash(call, ended, clock.now() - startedAt);
    logger[outcome.kind === 'answered' ? 'info' : 'warn']('stage call ended', {
      service,
      server: server.id,
      pieces: pieces.length,
      outcome: outcome.kind,
      results: outcome.kind === 'answered' ? countOutcomes(outcome.pieces) : undefined,
      cause,
      expectedMs: Math.round(expectedMs),
      durationMs: Math.round(clock.now() - startedAt),
      waiting: this.queues.get(service)?.waitingPieceCount,
    });
    this.send({ type: 'call-ended', service, callId, outcome });
  }
}

function listenerKey(service: string, taskId: number): string {
  return `${service}/${taskId}`;
}
