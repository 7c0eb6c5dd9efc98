/** Configuration of a deployment: routes, services, limits and client accounts. */
import { z } from 'zod';

/** A stage that runs before the request itself. Stages are numbered by their place in the list. */
export const RouteStage = z.object({
  service: z.string(),
  /** Numbers of the stages whose results this one reads. */
  dependsOn: z.array(z.number().int().min(0)),
  /** Approximate size of one result, in bytes. */
  resultBytes: z.number().min(0),
});
export type RouteStage = z.infer<typeof RouteStage>;

/** `safe` requests may run again, `unsafe` ones once at most; `streaming` ones answer with events. */
export const RequestKind = z.enum(['safe', 'unsafe', 'streaming']);
export type RequestKind = z.infer<typeof RequestKind>;

export const Route = z.object({
  name: z.string(),
  host: z.string(),
  /** Starts and ends with a slash. */
  pathPrefix: z.string(),
  kind: RequestKind,
  /** Longest time that a caller is kept waiting, in ms. */
  timeoutMs: z.number().positive(),
  /** Latency objective: up to the answer, or the first event of a stream, in ms. */
  objectiveMs: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.number().int().min(0),
  targets: z.array(z.object({ service: z.string(), weight: z.number().min(0) })).min(1),
  /** Most backend servers that may run one request. */
  maxServers: z.number().int().min(1),
  stages: z.array(RouteStage),
  isPublic: z.boolean(),
  /** Requests name a model and the parts of a prompt. */
  usesEngine: z.boolean(),
  /** A stream may go on at another backend server after its last event. */
  isResumable: z.boolean(),
  /** Longest pause between two events of a stream that is on time, in ms. */
  maxEventGapMs: z.number().positive().optional(),
});
export type Route = z.infer<typeof Route>;

/** How the backend servers of a stage service work. All values are of one server. */
export const StageCapacity = z.object({
  concurrentCalls: z.number().int().min(1),
  /** Most pieces in one call. */
  batchSize: z.number().int().min(1),
  /** Fixed time of a call, in ms. */
  callMs: z.number().min(0),
  /** Approximate time of a piece, in ms; it differs by stage. */
  pieceMs: z.number().min(0),
  /** Memory for results that have not been released, in bytes. */
  resultRoomBytes: z.number().min(0),
  /** Time after which an unreleased result is dropped, in ms. */
  resultRetentionMs: z.number().min(0),
});
export type StageCapacity = z.infer<typeof StageCapacity>;

export const EngineCapacity = z.object({
  /** Requests in one batch. */
  slots: z.number().int().min(1),
  /** Tokens that running requests and cached prompt parts share. */
  cacheTokens: z.number().min(0),
});
export type EngineCapacity = z.infer<typeof EngineCapacity>;

export const ServiceDefinition = z.object({
  name: z.string(),
  /** Connections that one backend server takes from all processes together. */
  maxConnections: z.number().int().min(1),
  stage: StageCapacity.optional(),
  engine: EngineCapacity.optional(),
});
export type ServiceDefinition = z.infer<typeof ServiceDefinition>;

export const RequestLimits = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
export type RequestLimits = z.infer<typeof RequestLimits>;

export const ClientAccount = z.object({
  name: z.string(),
  apiKeys: z.array(z.string()),
  /** Takes precedence over the priority of the route. */
  priority: z.number().int().min(0).optional(),
});
export type ClientAccount = z.infer<typeof ClientAccount>;

export const ServingConfiguration = z.object({
  version: z.number().int(),
  routes: z.array(Route),
  services: z.array(ServiceDefinition),
  limits: RequestLimits,
  /** Without accounts, requests need no key. */
  accounts: z.array(ClientAccount).optional(),
});
export type ServingConfiguration = z.infer<typeof ServingConfiguration>;

/** A backend server as it registered itself. */
export const BackendServer = z.object({
  id: z.string(),
  service: z.string(),
  /** `ip:port` */
  address: z.string(),
  failureDomain: z.string(),
  /** Requests it works on at the same time. */
  slots: z.number().int().min(1),
  isDraining: z.boolean(),
  /** Start of the process, Unix ms. A server that starts again keeps nothing of before. */
  startedAtMs: z.number().optional(),
});
export type BackendServer = z.infer<typeof BackendServer>;
