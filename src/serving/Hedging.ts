import type { HedgeCandidate, HedgePlan, HedgePolicy } from '../common/serving/HedgePolicy.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { ServerRecords } from '../common/serving/ServerRecords.js';
import type { ServerStatements } from '../common/serving/ServerStatements.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import { isResumable, type CallerRequest } from './CallerRequest.js';
import { canFailOver, MAX_SEND_ATTEMPTS } from './FailoverPolicy.js';
import { isSuccess, type ForwardOutcome } from './ForwardOutcome.js';
import type { ForwardProgress } from './ForwardProgress.js';
import { HedgeRace, type SendTo } from './HedgeRace.js';
import type { Guard } from './CrashGuard.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { ServerSelection, StoredResult } from './ServerSelection.js';
import type { ServingMetrics } from './ServingMetrics.js';
import type { PeerView } from './peers/PeerView.js';

/** Share of the retry budget that hedges may use; the rest is left for retries. */
const RETRY_BUDGET_SHARE = 0.5;

/** Dependencies of {@link Hedging}. */
export interface HedgingServices {
  readonly clock: Clock;
  readonly policy: HedgePolicy;
  readonly directory: ServerDirectory;
  readonly records: ServerRecords;
  readonly statements: ServerStatements;
  readonly selection: Pick<ServerSelection, 'choose'>;
  readonly peerView: Pick<PeerView, 'engineLoad'>;
  readonly retryBudgets: RetryBudgets;
  readonly crashGuard: Guard;
  readonly metrics: Pick<ServingMetrics, 'recordHedge'>;
}

/** A request and the server that was chosen for its first send. */
export interface HedgeableSend {
  readonly request: CallerRequest;
  readonly service: string;
  readonly server: BackendServer;
  readonly progress: ForwardProgress;
  /** Stage results that the request reads. */
  readonly results: readonly StoredResult[];
}

/** Sends requests that may be repeated to a second server if the first one is slow. */
export class Hedging {
  constructor(private readonly services: HedgingServices) {}

  /** Counts a request of the service, to which the allowed hedges are proportional. */
  recordRequest(service: string): void {
    this.services.policy.recordRequest(service);
  }

  /** @returns whether the next send of the request may be hedged */
  covers(request: CallerRequest, { deliveries }: ForwardProgress): boolean {
    return deliveries === 0 && canFailOver(request);
  }

  /**
   * Sends a request, and hedges it if it is slow.
   * @param send - request and its first server
   * @param sendTo - sends it to one server
   * @returns outcome of the send that answered; otherwise, of the one that ended last
   */
  async forward(send: HedgeableSend, sendTo: SendTo): Promise<ForwardOutcome> {
    const { clock, policy, metrics } = this.services;
    const { request, service, server, progress } = send;
    const work = { route: request.route.name, service };
    const plan = policy.planOf(work, this.remainingMs(request));
    let isSlow = false;
    const race = new HedgeRace({
      request,
      progress,
      clock,
      sendTo,
      delayMs: plan?.delayMs,
      chooseServer: () => {
        isSlow = true;
        policy.recordSend(service, isSlow);
        return plan && this.chooseServer(send, plan);
      },
      onAnswer: ({ status, isHedge, latencyMs, sinceFirstMs, wasFirstRunning }) => {
        if (plan && !isSlow) policy.recordSend(service, isSlow);
        if (!isSuccess(status)) return;
        policy.recordLatency(work, latencyMs);
        // Without the sends that were too slow, the learned delay would become ever shorter.
        if (isHedge && wasFirstRunning) policy.recordLatency(work, sinceFirstMs);
      },
    });
    const { outcome, isHedged, hasHedgeWon } = await race.run(server);
    if (isHedged) metrics.recordHedge(service, hasHedgeWon ? 'won' : 'wasted');
    return outcome;
  }

  /** @returns server of the hedge, which is charged to the budgets; undefined for no hedge */
  private chooseServer(
    { request, service, server: first, progress, results }: HedgeableSend,
    plan: HedgePlan,
  ): BackendServer | undefined {
    const { clock, policy, selection, retryBudgets, crashGuard, metrics } = this.services;
    if (progress.sends >= MAX_SEND_ATTEMPTS || crashGuard.isRefused(request)) return undefined;
    const candidates = this.candidatesOf(service);
    const targets = policy.targetsOf(service, candidates, this.remainingMs(request), plan);
    const excluded = new Set(progress.triedServerIds);
    candidates.filter(({ id }) => !targets.has(id)).forEach(({ id }) => excluded.add(id));
    if (targets.size === 0) return undefined;
    // Both sends of a resumable stream are at one version, so that it is known before either answers.
    const pinned = isResumable(request) ? { version: first.version } : progress.pinned;
    const server = selection.choose(
      request,
      service,
      { triedServerIds: excluded, pinned },
      results,
    );
    if (!server || excluded.has(server.id)) return undefined;
    if (!retryBudgets.of(service).trySpend(RETRY_BUDGET_SHARE)) return undefined;
    policy.recordHedge(service);
    metrics.recordHedge(service, 'sent');
    request.trace.recordStep('hedge', clock.now());
    return server;
  }

  private candidatesOf(service: string): HedgeCandidate[] {
    const { directory, records, statements, peerView } = this.services;
    const usable = directory.usable(service);
    const healthy = new Set(records.healthy(usable));
    return usable.map((server) => ({
      id: server.id,
      slots: server.slots,
      running: records.running(server.id) + peerView.engineLoad(server.id).running,
      isUnrestricted:
        healthy.has(server) &&
        statements.mayRequest(server) &&
        statements.requestsPerS(server.id) === undefined &&
        !statements.departures.has(server),
    }));
  }

  /** @returns time for which an answer is of use to the caller, in ms */
  private remainingMs({ callerWaitsUntil }: CallerRequest): number {
    return callerWaitsUntil - this.services.clock.now();
  }
}
