import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { CallerRequest } from './CallerRequest.js';
import type { ForwardOutcome } from './ForwardOutcome.js';
import type { ForwardProgress } from './ForwardProgress.js';
import { fingerprintOf } from './RequestFingerprint.js';
import type { ResponseProgress } from './ResponseProgress.js';

/** Why a request is refused before a server runs it, and when it may be sent again. */
export interface Refusal {
  readonly reason: string;
  /** In ms. */
  readonly retryAfterMs: number;
}

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8;

/** Logs the decisions of one process about callers' requests. */
export class RequestLog {
  /**
   * @param logger - destination
   * @param clock - time source
   */
  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
  ) {}

  /** Logs the end of one attempt; at level info if there is no final response. */
  recordForward(
    request: CallerRequest,
    server: BackendServer,
    outcome: ForwardOutcome,
    progress: Pick<ForwardProgress, 'sends'>,
    response: ResponseProgress,
  ): void {
    const isFailure = outcome.kind !== 'answered';
    this.logger[isFailure ? 'info' : 'debug']('request forwarded', {
      request: request.attributes.attemptId,
      route: request.route.name,
      server: server.id,
      outcome: outcome.kind,
      ...('cause' in outcome && { cause: outcome.cause }),
      ...('status' in outcome && { status: outcome.status }),
      send: progress.sends,
      ageMs: this.ageMs(request),
      runMs: Math.round(response.runMs),
      ...(response.headMs !== undefined && { headMs: Math.round(response.headMs) }),
      ...(response.firstEventMs !== undefined && {
        firstEventMs: Math.round(response.firstEventMs),
        events: response.events,
      }),
      ...('isConnectionLost' in outcome &&
        outcome.isConnectionLost && { fingerprint: fingerprintOf(request) }),
      ...(request.attributes.promptParts.length > 0 && { promptParts: loggedParts(request) }),
    });
  }

  /** Logs that a request is refused and that no server has run it. */
  recordRefusal(request: CallerRequest, reason: string, retryAfterMs: number): void {
    this.logger.info('request refused, not run', {
      request: request.attributes.attemptId,
      route: request.route.name,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      ageMs: this.ageMs(request),
      configurationVersion: request.configurationVersion,
    });
  }

  private ageMs({ receivedAt }: CallerRequest): number {
    return Math.round(this.clock.now() - receivedAt);
  }
}

/** @returns ids of the request's prompt parts, in order */
function loggedParts({ attributes }: CallerRequest): string[] {
  return attributes.promptParts.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id);
}
