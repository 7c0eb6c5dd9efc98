import { z } from 'zod';
import type { RandomSource } from '../common/time/Types.js';

/** Log-normal distribution of service times. */
export const ServiceTimeSettings = z.strictObject({
  /** Mean, in milliseconds. */
  meanMs: z.number().nonnegative(),
  /** Standard deviation of the logarithm; with 0 all service times are equal. */
  spread: z.number().min(0).max(3).default(0.25),
});
export type ServiceTimeSettings = z.infer<typeof ServiceTimeSettings>;

/**
 * Draws a service time.
 * @param settings - mean and spread
 * @param random - source of randomness
 * @returns service time, in milliseconds
 */
export function drawServiceTime(settings: ServiceTimeSettings, random: RandomSource): number {
  const { meanMs, spread } = settings;
  // Box-Muller transform; 1 - next() is never 0.
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  // The second term makes the mean of the distribution equal to meanMs.
  return meanMs * Math.exp(spread * normal - spread ** 2 / 2);
}
