/** The platform's list of instances. It lags behind their actual state. */
import { z } from 'zod';
import { EndpointAddress } from './EndpointAddress.js';

/** One process of the system, as listed by the platform. */
export const Instance = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'agent']),
  /** Address of the process's HTTP server. */
  address: EndpointAddress,
  failureDomain: z.string().min(1),
  region: z.string().default('default'),
  /** Pool of the backend server; agents only. */
  pool: z.string().optional(),
  state: z.enum(['live', 'leaving']),
});
export type Instance = z.infer<typeof Instance>;

/** Response of `GET /v1/instances`. */
export const InstanceList = z.object({ instances: z.array(Instance) });
export type InstanceList = z.infer<typeof InstanceList>;

/** {@link InstanceList} whose entries are not checked yet. */
export const UncheckedInstanceList = z.object({ instances: z.array(z.unknown()) });
