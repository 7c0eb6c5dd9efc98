/** Time limits of the attempt state machine, in milliseconds. */

/**
 * A non-idempotent run is not aborted at its deadline, because its outcome is still needed. If it
 * has not been answered within this time after the deadline, it is aborted: its outcome is reported
 * as unknown and its slot is freed.
 */
export const NON_IDEMPOTENT_GRACE_MS = 30_000;

/**
 * Retention of the ids of voided and refused attempts, so that a copy delayed in the network does
 * not run. Linux retransmits data of a closed connection for about 100 s, and of an open one for up
 * to 16 minutes.
 */
export const VOIDED_RETENTION_MS = 20 * 60_000;
