/** Times of the gate, in milliseconds. */

/**
 * A non-idempotent run is not stopped at its deadline, because its outcome is still wanted. After this
 * much more time without an answer its outcome is given as unknown and its slot is freed.
 */
export const NON_IDEMPOTENT_GRACE_MS = 30_000;

/**
 * An attempt that was voided or refused must not run if a delayed copy arrives. Linux sends data of a
 * closed connection again for about 100 s, and for up to 16 minutes if the connection was not closed.
 */
export const VOIDED_RETENTION_MS = 20 * 60_000;
