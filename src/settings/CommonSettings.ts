/** Parts of settings that several binaries share. */
import { z } from 'zod';

/** `ip:port`; a process learns its addresses from its settings. */
export const Address = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected IP:PORT');

export const HttpUrl = z.url({ protocol: /^https?$/, error: 'expected an http or https URL' });

export const LogSettings = z
  .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
  .prefault({});

/** Where spans go. Without `otlpUrl` and `file` no spans are kept. */
export const TracingSettings = z
  .strictObject({
    otlpUrl: HttpUrl.optional(),
    /** File that gets one JSON line a span. */
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

/** Settings that every serving process has. */
export const ProcessSettings = z.strictObject({
  id: z.string().min(1).max(64),
  address: Address,
  failureDomain: z.string().min(1),
  region: z.string().min(1).default('default'),
  platform: PlatformSettings,
  /** Addresses of entries asked for the configuration while the store is down. */
  peers: z.array(Address).default([]),
  /** Shared secret of the system's own processes. */
  internalToken: z.string().min(16),
  log: LogSettings,
  tracing: TracingSettings,
});
export type ProcessSettings = z.infer<typeof ProcessSettings>;
