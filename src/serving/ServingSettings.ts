/** Settings of a serving process. */
import { z } from 'zod';
import { FILE_DESCRIPTORS, impossibleLimits } from '../common/requests/ProcessLimits.js';
import { ClientLimits } from '../common/requests/Types.js';
import { HedgeSettings } from '../common/serving/HedgeSettings.js';
import { ResponseLimits } from '../common/response/Types.js';
import { Address, LogSettings } from '../settings/CommonSettings.js';

/** Least memory in MB and least descriptors of an instance on which the process can run. */
const MIN_MEMORY_MB = 96;
const MIN_DESCRIPTORS = FILE_DESCRIPTORS + 56;

/**
 * A number that a template fills in, or a list that is empty or holds null if the deployment has none.
 * @param figure - schema of the number
 * @returns schema of the number or undefined
 */
function optionalFigure(figure: z.ZodNumber) {
  const list = z.array(figure.nullable()).max(1);
  return z.union([figure, list.transform(([value]) => value ?? undefined)]);
}

export const ServingSettings = z
  .object({
    id: z.string().min(1),
    ip: z.ipv4(),
    failureDomain: z.string().min(1),
    listen: z.object({
      /** Address for callers. */
      callers: Address,
      /** Address for readiness checks of the load balancer. */
      readiness: Address,
    }),
    /** Ports for peers: the first serves calls, heartbeats and metrics, the second stage requests. */
    internalPorts: z.tuple([z.number().int(), z.number().int()]),
    /** Address of the store. */
    store: Address,
    /** Capacity of the instance; processes with more capacity batch more of the stage services. */
    instance: z.object({
      /** Share of each core that the process may use. */
      coreShare: z.number().positive(),
      cores: z.number().positive(),
      linkMbps: z.number().positive(),
      /** Memory of the process, in MB; bounds what it holds for clients. */
      memoryMb: z.number().min(MIN_MEMORY_MB).optional(),
      /** Descriptors that the instance may open; bounds the connections of callers. */
      maxDescriptors: z.number().int().min(MIN_DESCRIPTORS).optional(),
    }),
    shutdown: z.object({
      /** Time from SIGTERM to SIGKILL, in seconds. */
      graceSeconds: z.number().positive(),
    }),
    /** Limit of the retries that each service may get, summed over all processes. */
    retryBudget: z.object({
      /** Maximum ratio of retries to requests within the window. */
      ratio: z.number().min(0),
      /** Number of retries per window allowed in addition to `ratio` times the requests. */
      slack: z.number().min(0),
      windowSeconds: z.number().positive(),
    }),
    /** Bounds of what backend servers do before they end. */
    servers: z.object({
      /** Time after which a server that leaves must get no more requests, in ms. */
      drainMs: z.number().positive(),
      /** Longest time between two registrations of a server, in ms. */
      heartbeatMs: z.number().positive(),
      /** Bounds of the requests to a cold server; absent if the deployment has none. */
      cold: z
        .object({
          /** Factor on the requests per second that a cold server can take. */
          over: optionalFigure(z.number().positive()),
          /** Requests per second allowed in addition. */
          slack: optionalFigure(z.number().min(0)),
        })
        .transform(({ over, slack }) =>
          over === undefined || slack === undefined ? undefined : { over, slack },
        )
        .optional(),
    }),
    /** Hedges of slow requests; none are sent if this is absent. */
    secondSends: HedgeSettings.optional(),
    /** Bounds of what a backend server may send. */
    responseLimits: ResponseLimits,
    /** Bounds of what clients may make the process hold. */
    clientLimits: ClientLimits,
    log: LogSettings,
  })
  .superRefine(({ instance, clientLimits }, context) => {
    Object.entries(impossibleLimits(instance, clientLimits)).forEach(([field, message]) =>
      context.addIssue({ code: 'custom', path: ['clientLimits', field], message }),
    );
  });
export type ServingSettings = z.infer<typeof ServingSettings>;
