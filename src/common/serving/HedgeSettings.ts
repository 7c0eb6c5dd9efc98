/** Settings of hedges: second sends of requests that may be repeated, while the first is slow. */
import { z } from 'zod';

export const HedgeSettings = z.object({
  /** Maximum ratio of hedges to the requests of a service; 0 turns hedges off. */
  ratio: z.number().min(0).max(1).default(0),
  /** Quantile of the latencies after which a hedge may be sent. */
  quantile: z.number().min(0.5).max(0.999).default(0.95),
  /** Shortest delay of a hedge, in ms. */
  minDelayMs: z.number().positive().default(20),
  /** Share of a service's slots in use above which no hedges are sent to it. */
  maxLoad: z.number().min(0).max(1).default(0.5),
});
export type HedgeSettings = z.infer<typeof HedgeSettings>;
