import { admitStages, returnAfterMs } from '../common/serving/StageAdmission.js';
import type { Clock } from '../common/time/Types.js';
import type { CallerRequest } from './CallerRequest.js';
import type { Refusal } from './RequestLog.js';
import { MIN_FIRST_EVENT_MS, type StageRunner } from './StageRunner.js';
import type { ServingMetrics } from './ServingMetrics.js';
import type { PeerView } from './peers/PeerView.js';

/** Shortest Retry-After, in ms: a caller whose time is over must not come back at once. */
const MIN_RETRY_MS = 200;

/** Dependencies of {@link StageAdmissionCheck}. */
export interface StageAdmissionCheckServices {
  readonly clock: Clock;
  readonly peerView: Pick<PeerView, 'stageLoad'>;
  readonly stageRunner: Pick<StageRunner, 'minDurationMs' | 'typicalDurationMs'>;
  readonly metrics: Pick<ServingMetrics, 'recordRefusal'>;
  readonly random: () => number;
}

/** Refuses requests that their stages cannot serve in time, before any backend server works on them. */
export class StageAdmissionCheck {
  constructor(private readonly services: StageAdmissionCheckServices) {}

  /**
   * @param request - request that is about to start
   * @returns why it is refused; undefined to admit it
   */
  refusalOf(request: CallerRequest): Refusal | undefined {
    const { clock, peerView, stageRunner, metrics, random } = this.services;
    const loads = request.route.stages.flatMap(({ service }, index) => {
      const isNeeded = (request.attributes.pieceCounts[index] ?? 0) > 0;
      return (isNeeded && peerView.stageLoad(service)) || [];
    });
    const now = clock.now();
    const demand = {
      priority: request.priority,
      shortestMs: stageRunner.minDurationMs(request) + MIN_FIRST_EVENT_MS,
      typicalMs: stageRunner.typicalDurationMs(request),
      dueInMs: request.dueAt - now,
      waitsForMs: request.callerWaitsUntil - now,
    };
    if (admitStages(demand, loads).kind === 'admitted') return undefined;
    metrics.recordRefusal('overloaded-stages');
    const retryAfterMs = Math.max(MIN_RETRY_MS, returnAfterMs(demand.waitsForMs, random()));
    return { reason: 'stages are overloaded', retryAfterMs };
  }
}
