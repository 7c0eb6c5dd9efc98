/** The table row that allows one agent at a time to send orders to a backend server. */
import { z } from 'zod';

/** Table of leases, keyed by the id of the backend server. */
export const LEASE_TABLE = 'leases';

/** Schema of a lease row. */
export const Lease = z.object({
  agentId: z.string(),
  incarnation: z.string(),
  /** Fencing number; increases by one with each take-over. */
  fencing: z.number().int().positive(),
  /** Time to live in ms, from the moment at which the holder sent the write. */
  ttlMs: z.number().int().positive(),
  /** Identifies this write, so that its holder recognizes it after a lost answer. */
  writeId: z.string(),
  /** Whether the holder has released the lease; it has no order in flight then. */
  released: z.boolean(),
});
export type Lease = z.infer<typeof Lease>;
