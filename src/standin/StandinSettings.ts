/** Settings of `citronstage-standin` with their defaults. */
import { z } from 'zod';
import { Instance } from '../common/protocol/Membership.js';
import { Address, HttpUrl, LogSettings } from '../settings/CommonSettings.js';
import { Faults } from './Faults.js';
import { ServiceTimeSettings } from './ServiceTime.js';

const BaseService = z.strictObject({
  name: z.string().min(1),
  /** Listen address, `ip:port`. With port 0 the operating system chooses a port. */
  address: Address,
  faults: Faults.prefault({}),
  /** Seed of the random source; default: a hash of the name. */
  seed: z.number().int().optional(),
});

function createBackendSchema<K extends string>(kind: K, slots: number, meanMs: number) {
  return BaseService.extend({
    kind: z.literal(kind),
    slots: z.number().int().positive().default(slots),
    serviceTime: ServiceTimeSettings.prefault({ meanMs }),
  });
}

const EngineService = BaseService.extend({
  kind: z.literal('engine'),
  slots: z.number().int().positive().default(16),
  maxWaiting: z.number().int().nonnegative().default(256),
  tokensPerSecond: z.number().positive().default(60),
  batchGrowth: z.number().nonnegative().default(0.02),
  promptTokensPerSecond: z.number().positive().default(8000),
  promptTokensPerStep: z.number().int().positive().default(512),
  cacheTokens: z.number().int().nonnegative().default(65_536),
  tokensPerChunk: z.number().int().positive().default(1),
  resumeGraceMs: z.number().nonnegative().default(1000),
  retainMs: z.number().int().positive().default(10_000),
  cacheEventLagMs: z.number().nonnegative().default(200),
  cacheEventGapShare: z.number().min(0).max(1).default(0.02),
  models: z.array(z.string()).default([]),
  weightsUrl: HttpUrl.optional(),
});

/** Settings of one service. */
export const ServiceSettings = z.discriminatedUnion('kind', [
  BaseService.extend({
    kind: z.literal('table'),
    /** Service time of every call, in milliseconds; multiplied by the fault `slowFactor`. */
    serviceMs: z.number().nonnegative().default(0),
  }),
  BaseService.extend({ kind: z.literal('object') }),
  BaseService.extend({
    kind: z.literal('membership'),
    instances: z.array(Instance).default([]),
  }),
  BaseService.extend({
    kind: z.literal('weights'),
    modelBytes: z.number().int().positive().default(8_388_608),
    bytesPerSecond: z.number().positive().default(33_554_432),
  }),
  EngineService,
  createBackendSchema('encoder', 8, 6),
  createBackendSchema('retriever', 8, 40),
  createBackendSchema('reranker', 8, 15),
  createBackendSchema('plain', 8, 10),
]);
export type ServiceSettings = z.infer<typeof ServiceSettings>;
export type ServiceKind = ServiceSettings['kind'];

export const StandinSettings = z.strictObject({
  services: z.array(ServiceSettings).min(1),
  log: LogSettings,
});
export type StandinSettings = z.infer<typeof StandinSettings>;
