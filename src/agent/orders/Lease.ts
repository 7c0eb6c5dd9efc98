/** The table row that lets one agent at a time give orders to a backend server. */
import { z } from 'zod';

/** Table that holds leases, by id of the backend server. */
export const LEASE_TABLE = 'leases';

export const Lease = z.object({
  agentId: z.string(),
  incarnation: z.string(),
  /** Fencing number; grows by one with each take-over. */
  fencing: z.number().int().positive(),
  /** Time to live since the holder sent the write, in milliseconds. */
  ttlMs: z.number().int().positive(),
  /** Names this very write, so that its holder recognizes it after a lost answer. */
  writeId: z.string(),
  /** True if the holder gave the lease up and has no order on its way. */
  released: z.boolean(),
});
export type Lease = z.infer<typeof Lease>;
