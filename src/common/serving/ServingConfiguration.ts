/** Schemas of a deployment's configuration: routes, services, limits and client accounts. */
import { z } from 'zod';

/** A stage that runs before the request itself. Its index in the list of stages identifies it. */
export const RouteStage = z.object({
  service: z.string(),
  /** Indexes of the stages whose results this stage reads. */
  dependsOn: z.array(z.number().int().min(0)),
  /** Approximate size of one result, in bytes. */
  resultBytes: z.number().min(0),
});
export type RouteStage = z.infer<typeof RouteStage>;

/**
 * `safe` requests may run more than once, `unsafe` requests at most once. `streaming` requests are
 * answered with a stream of events.
 */
export const RequestKind = z.enum(['safe', 'unsafe', 'streaming']);
export type RequestKind = z.infer<typeof RequestKind>;

/** A route: the requests that it matches, how they are run and their latency objective. */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Prefix of the request path; starts and ends with a slash. */
  pathPrefix: z.string(),
  kind: RequestKind,
  /** Maximum time that a caller waits for the response, in ms. */
  timeoutMs: z.number().positive(),
  /** Latency objective for the response, or for the first event of a stream, in ms. */
  objectiveMs: z.number().positive(),
  /** Urgency of the requests; 0 is the most urgent. */
  priority: z.number().int().min(0),
  /** Services that share the requests in proportion to their weights. */
  targets: z.array(z.object({ service: z.string(), weight: z.number().min(0) })).min(1),
  /** Maximum number of backend servers that may run one request. */
  maxServers: z.number().int().min(1),
  stages: z.array(RouteStage),
  /** Whether requests need no API key. */
  isPublic: z.boolean(),
  /** Whether the requests run on a model engine; they then list the parts of their prompt. */
  usesEngine: z.boolean(),
  /** Whether an interrupted stream may resume on another backend server after its last event. */
  isResumable: z.boolean(),
  /** Objective for the time between two events of a stream, in ms. */
  maxEventGapMs: z.number().positive().optional(),
});
export type Route = z.infer<typeof Route>;

/** Capacity of the backend servers of a stage service. All values are per server. */
export const StageCapacity = z.object({
  /** Maximum number of calls that run at the same time. */
  concurrentCalls: z.number().int().min(1),
  /** Maximum number of pieces in one call. */
  batchSize: z.number().int().min(1),
  /** Fixed part of the duration of a call, in ms. */
  callMs: z.number().min(0),
  /** Approximate time that each piece adds to a call, in ms; the actual time differs by stage. */
  pieceMs: z.number().min(0),
  /** Memory for results that are not released yet, in bytes. */
  resultRoomBytes: z.number().min(0),
  /** Time after which the server drops a result that was not released, in ms. */
  resultRetentionMs: z.number().min(0),
});
export type StageCapacity = z.infer<typeof StageCapacity>;

/** Capacity of the model engines of a service. All values are per engine. */
export const EngineCapacity = z.object({
  /** Maximum number of requests in one batch. */
  slots: z.number().int().min(1),
  /** Size of the cache that running requests and cached prompt parts share, in tokens. */
  cacheTokens: z.number().min(0),
});
export type EngineCapacity = z.infer<typeof EngineCapacity>;

/** What the backend servers of a service can do while they are cold. All values are per server. */
export const ColdCapacity = z.object({
  /** Time for which a server is cold after a start, in ms; 0 if only servers state it. */
  durationMs: z.number().min(0),
  /** Requests per second that a cold server can take. */
  requestsPerS: z.number().positive(),
});
export type ColdCapacity = z.infer<typeof ColdCapacity>;

/** A service; `stage` is set for stage services, `engine` for model engines. */
export const ServiceDefinition = z.object({
  name: z.string(),
  /** Maximum number of connections to one backend server from all processes together. */
  maxConnections: z.number().int().min(1),
  stage: StageCapacity.optional(),
  engine: EngineCapacity.optional(),
  /** Absent if servers can take any number of requests from their start. */
  cold: ColdCapacity.optional(),
});
export type ServiceDefinition = z.infer<typeof ServiceDefinition>;

/** Limits on the requests of callers. */
export const RequestLimits = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
export type RequestLimits = z.infer<typeof RequestLimits>;

/** A client account and its API keys. */
export const ClientAccount = z.object({
  name: z.string(),
  apiKeys: z.array(z.string()),
  /** Overrides the priority of the route; 0 is the most urgent. */
  priority: z.number().int().min(0).optional(),
});
export type ClientAccount = z.infer<typeof ClientAccount>;

/** The whole configuration of a deployment. */
export const ServingConfiguration = z.object({
  version: z.number().int(),
  routes: z.array(Route),
  services: z.array(ServiceDefinition),
  limits: RequestLimits,
  /** If absent, requests need no API key. */
  accounts: z.array(ClientAccount).optional(),
});
export type ServingConfiguration = z.infer<typeof ServingConfiguration>;

/** The registration of a backend server. */
export const BackendServer = z.object({
  id: z.string(),
  service: z.string(),
  /** `ip:port` */
  address: z.string(),
  failureDomain: z.string(),
  /** Number of requests that the server runs at the same time. */
  slots: z.number().int().min(1),
  /** Whether the server is to get no new work. */
  isDraining: z.boolean(),
  /** Version of the server's software; absent if the registration names none. */
  version: z.string().optional(),
  /** Start of the server's process, in Unix ms. A restarted server has lost its state. */
  startedAtMs: z.number().optional(),
  /** Number of the registration within the server's life; a later one has a higher number. */
  sequence: z.number().optional(),
  /** Time for which the server is cold, as of the writing of the registration, in ms. */
  coldLeftMs: z.number().min(0).optional(),
  /** Whether the registration states such a time that cannot be read. */
  isColdLeftUnreadable: z.boolean().optional(),
});
export type BackendServer = z.infer<typeof BackendServer>;
