/** Bounds of the responses of stage servers, by what was asked. */

/** Most bytes of the response to a stage call: for each piece, and besides them. */
const MAX_PIECE_BYTES = 4 * 1024;
const MAX_CALL_BYTES = 16 * 1024;

/** Most bytes of the response to a call that releases results; its content is not read. */
export const MAX_RELEASE_RESPONSE_BYTES = MAX_CALL_BYTES;

/** @returns most bytes of the response to a stage call with the number of pieces */
export function maxStageResponseBytes(pieces: number): number {
  return MAX_CALL_BYTES + pieces * MAX_PIECE_BYTES;
}
