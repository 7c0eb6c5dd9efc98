import { LRUCache } from 'lru-cache';
import type { BackendServer } from './ServingConfiguration.js';
import type { PieceOutcome, PieceReference } from './Types.js';

/** Whether an answer belongs to its call. */
export interface HandleCheck {
  /** Why the answer belongs to no or another call; undefined if it may belong to this one. */
  readonly problem?: string;
  /** Whether it names a result that no earlier answer has named. */
  readonly hasNew: boolean;
}

/** Maximum number of handles that are remembered; those that were made first go first. */
const MAX_HANDLES = 50_000;

/**
 * Ties the answers of stage servers to their calls by the handles of the results.
 *
 * Answers an extra answer to an earlier call, which servers repeat on the same connection: it names
 * results of other pieces. Servers do not have to repeat the id of a stage call.
 */
export class ResultHandles {
  /** Piece that each handle was made for, by server process and handle. */
  private readonly pieces = new LRUCache<string, string>({ max: MAX_HANDLES });

  /** Number of handles that are remembered. */
  get size(): number {
    return this.pieces.size;
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
    const made = outcomes.flatMap((outcome, index) =>
      outcome.kind === 'made'
        ? [{ key: keyOf(server, outcome.handle), piece: nameOf(pieces[index]!) }]
        : [],
    );
    if (new Set(made.map(({ key }) => key)).size < made.length) {
      return failed('a handle is named twice');
    }
    const isForeign = made.some(({ key, piece }) => (this.pieces.get(key) ?? piece) !== piece);
    if (isForeign) return failed('a handle of another piece');
    const hasNew = made.some(({ key }) => !this.pieces.has(key));
    made.forEach(({ key, piece }) => this.pieces.set(key, piece));
    return { hasNew };
  }
}

/** A server that starts again may name its results as before. */
function keyOf({ id, startedAtMs }: BackendServer, handle: string): string {
  return `${id}/${startedAtMs ?? ''}/${handle}`;
}

function nameOf({ task, piece }: PieceReference): string {
  return `${task.attemptId}/${task.stage}/${piece}`;
}

function failed(problem: string): HandleCheck {
  return { problem, hasNew: false };
}
