/** Settings of the naive baseline. */
import { z } from 'zod';
import { Address, HttpUrl } from '../../settings/CommonSettings.js';

export const NaiveSettings = z.strictObject({
  address: Address,
  tableUrl: HttpUrl,
  pollIntervalMs: z.number().int().positive().default(1000),
  /** All backend servers; the list is static. */
  servers: z.array(z.strictObject({ pool: z.string().min(1), url: HttpUrl })),
});
export type NaiveSettings = z.infer<typeof NaiveSettings>;
