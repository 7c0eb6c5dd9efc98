/** Bounds of what clients may make a process hold. */
import { z } from 'zod';

const MIB = 1024 * 1024;

/** Limits of the clients of a process. */
export const ClientLimits = z
  .object({
    /** Most bytes that are held for clients together; by default a share of the memory. */
    heldBytes: z.number().int().positive().optional(),
    /** Most connections of callers; by default derived from the descriptors and the memory. */
    connections: z.number().int().positive().optional(),
    /** Rate that bodies and the readers of responses must keep under pressure, in bytes a second. */
    minBytesPerS: z
      .number()
      .int()
      .positive()
      .default(16 * 1024),
    /**
     * Most bytes of a body outside its content, such as chunk extensions, or sixteen times its content
     * if that is more.
     */
    framingBytes: z.number().int().positive().default(MIB),
    /** Most requests of one connection that are answered at the same time. */
    pipelinedRequests: z.number().int().positive().default(4),
  })
  .prefault({});
export type ClientLimits = z.infer<typeof ClientLimits>;
