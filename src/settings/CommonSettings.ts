/** Settings schemas that several programs share. */
import { z } from 'zod';

/** `ip:port`; processes read all addresses from their settings. */
export const Address = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected IP:PORT');

export const HttpUrl = z.url({ protocol: /^https?$/, error: 'expected an http or https URL' });

export const LogSettings = z
  .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
  .prefault({});

/** Export of spans. Without `otlpUrl` and `file` spans are discarded. */
export const TracingSettings = z
  .strictObject({
    otlpUrl: HttpUrl.optional(),
    /** File to which one JSON line per span is appended. */
    file: z.string().optional(),
    /** Share of traces that are sampled, 0 to 1. */
    sampleRatio: z.number().min(0).max(1).default(1),
  })
  .prefault({});
export type TracingSettings = z.infer<typeof TracingSettings>;

export const PlatformSettings = z.strictObject({
  tableUrl: HttpUrl,
  objectUrl: HttpUrl,
  membershipUrl: HttpUrl,
});
export type PlatformSettings = z.infer<typeof PlatformSettings>;

/** Settings that all server processes have in common. */
export const ProcessSettings = z.strictObject({
  id: z.string().min(1).max(64),
  address: Address,
  failureDomain: z.string().min(1),
  region: z.string().min(1).default('default'),
  platform: PlatformSettings,
  /** Addresses of entries that are asked for the configuration while the store is unavailable. */
  peers: z.array(Address).default([]),
  /** Shared secret of the processes of the system. */
  internalToken: z.string().min(16),
  log: LogSettings,
  tracing: TracingSettings,
});
export type ProcessSettings = z.infer<typeof ProcessSettings>;
