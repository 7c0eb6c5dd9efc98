import type { BackendServer } from './ServingConfiguration.js';
import type { PieceOutcome, PieceReference } from './Types.js';

/** Whether an answer belongs to its call. */
export interface HandleCheck {
  /** Why the answer belongs to no or another call; undefined if it may belong to this one. */
  readonly problem?: string;
  /** Whether it names a result that no earlier answer has named. */
  readonly hasNew: boolean;
}

/** Which piece a result was made for, and by which server process. */
interface ResultOrigin {
  readonly serverId: string;
  readonly startedAtMs: number | undefined;
  readonly attemptId: string;
  readonly stage: number;
  readonly piece: number;
}

/** Maximum number of handles that are remembered; the oldest go first. */
const MAX_HANDLES = 8192;

/**
 * Ties the answers of stage servers to their calls by the handles of the results.
 *
 * Answers an extra answer to an earlier call, which servers repeat on the same connection: it names
 * results of other pieces. Servers do not have to repeat the id of a stage call.
 */
export class ResultHandles {
  private readonly origins = new Map<string, ResultOrigin>();

  /** Number of handles that are remembered. */
  get size(): number {
    return this.origins.size;
  }

  /**
   * Checks an answer, and remembers its handles if it belongs to the call.
   * @param server - server that answered
   * @param pieces - pieces of the call
   * @param outcomes - outcomes in the answer
   * @returns whether the answer belongs to the call
   */
  accept(
    server: BackendServer,
    pieces: readonly PieceReference[],
    outcomes: readonly PieceOutcome[],
  ): HandleCheck {
    if (outcomes.length !== pieces.length) {
      return failed(`${outcomes.length} outcomes for ${pieces.length} pieces`);
    }
    const made = new Map<string, ResultOrigin>();
    let hasNew = false;
    for (const [index, outcome] of outcomes.entries()) {
      if (outcome.kind === 'made') {
        const { handle } = outcome;
        const origin = originOf(server, pieces[index]!);
        const known = this.origins.get(handle);
        // A server that starts again may name its results as before.
        const isKnown = known !== undefined && isSameServer(known, origin);
        if (made.has(handle)) return failed('a handle is named twice');
        if (isKnown && !isSamePiece(known, origin)) return failed('a handle of another piece');
        hasNew ||= !isKnown;
        made.set(handle, origin);
      }
    }
    made.forEach((origin, handle) => this.remember(handle, origin));
    return { hasNew };
  }

  private remember(handle: string, origin: ResultOrigin): void {
    this.origins.set(handle, origin);
    if (this.origins.size > MAX_HANDLES) this.origins.delete(this.origins.keys().next().value!);
  }
}

function originOf(
  { id: serverId, startedAtMs }: BackendServer,
  { task: { attemptId, stage }, piece }: PieceReference,
): ResultOrigin {
  return { serverId, startedAtMs, attemptId, stage, piece };
}

function isSameServer(left: ResultOrigin, right: ResultOrigin): boolean {
  return left.serverId === right.serverId && left.startedAtMs === right.startedAtMs;
}

function isSamePiece(left: ResultOrigin, right: ResultOrigin): boolean {
  return (
    left.attemptId === right.attemptId && left.stage === right.stage && left.piece === right.piece
  );
}

function failed(problem: string): HandleCheck {
  return { problem, hasNew: false };
}
