import { randomUUID } from 'node:crypto';
import { ResultHandles } from '../common/serving/ResultHandles.js';
import type { CallOutcome, PlannedCall } from '../common/serving/Types.js';
import type { Clock } from '../common/time/Types.js';
import { bufferedCall, type BufferedResponse } from './BufferedCall.js';
import type { BackendConnections } from './BackendConnections.js';
import { maxStageResponseBytes } from './StageCallBounds.js';
import type { ServingProtocol } from './Types.js';

/** Time-out of a call as a multiple of its expected time; slow servers take up to five times. */
const CALL_TIMEOUT_FACTOR = 6;

const STATUS_OK = 200;

/** Dependencies of {@link StageCaller}. */
export interface StageCallerServices {
  readonly clock: Clock;
  readonly connections: BackendConnections;
  readonly protocol: ServingProtocol;
}

/** How a stage call ended, and why, for the log. */
export interface EndedCall {
  readonly outcome: CallOutcome;
  readonly cause: string | number;
  /** Whether the server closed the connection without a response, as it also does when it ends. */
  readonly isConnectionLost?: boolean;
}

/** A response that was compared with its call. */
interface CheckedResponse extends EndedCall {
  /** Whether the response can only be that to this call. */
  readonly isTied: boolean;
}

/**
 * Sends stage calls and takes only responses that belong to them.
 *
 * A server may repeat the response to an earlier call where the next one is expected. A connection is
 * used again only after a response that is tied to its call, by the id of the call or by a result that
 * no earlier response named; after any other one, the response that is due may still come.
 */
export class StageCaller {
  private readonly handles = new ResultHandles();

  constructor(private readonly services: StageCallerServices) {}

  /**
   * @param call - pieces to run and their server
   * @returns how the call ended; never rejects
   */
  async send(call: PlannedCall): Promise<EndedCall> {
    const { protocol, connections, clock } = this.services;
    const { server, pieces, expectedMs } = call;
    const callId = randomUUID();
    const request = protocol.createStageCall(server.id, pieces, clock.now(), callId);
    let checked: CheckedResponse | undefined;
    const response = await bufferedCall(
      connections.to(server),
      { ...request, needsNewConnection: false },
      {
        timeoutMs: expectedMs * CALL_TIMEOUT_FACTOR,
        maxBodyBytes: maxStageResponseBytes(pieces.length),
        isTied: (answered) => {
          checked = this.check(answered, call, callId);
          return checked.isTied;
        },
      },
    );
    if (response.kind === 'failed') {
      const { kind, message, isConnectionLost } = response.failure;
      return { outcome: { kind }, cause: message, isConnectionLost };
    }
    return checked!;
  }

  private check(
    response: Extract<BufferedResponse, { kind: 'answered' }>,
    { server, pieces }: PlannedCall,
    callId: string,
  ): CheckedResponse {
    const { protocol } = this.services;
    const { attemptId, isNotExecuted } = protocol.parseResponse(response.headers);
    const hasId = attemptId === callId;
    if (attemptId !== undefined && !hasId) return broken('response to another call');
    if (response.status !== STATUS_OK) {
      const kind = isNotExecuted ? 'not-executed' : 'broken';
      return { outcome: { kind }, cause: response.status, isTied: hasId };
    }
    const outcomes = protocol.parseStageOutcomes(response.body.toString('utf8'), pieces.length);
    if (!outcomes) return broken('invalid response');
    const { problem, hasNew } = this.handles.accept(server, pieces, outcomes);
    if (problem !== undefined) return broken(problem);
    const outcome = { kind: 'answered', pieces: outcomes } as const;
    return { outcome, cause: STATUS_OK, isTied: hasId || hasNew };
  }
}

function broken(cause: string): CheckedResponse {
  return { outcome: { kind: 'broken' }, cause, isTied: false };
}
