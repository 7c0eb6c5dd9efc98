/** Price lists, which convert usage to amounts. */
import { z } from 'zod';
import type { Usage } from '../protocol/Usage.js';

const Price = z.number().nonnegative().default(0);

/** Prices per unit. */
export const UnitPrices = z.strictObject({
  acceleratorSecond: Price,
  thousandTokensIn: Price,
  thousandTokensOut: Price,
  call: Price,
});
export type UnitPrices = z.infer<typeof UnitPrices>;

/** Price list of an operator. The default bills accelerator seconds at a price of 1. */
export const Prices = z.strictObject({
  currency: z.string().min(1).default('accelerator-s'),
  /** Prices of stages that are not listed in `stages`. */
  standard: UnitPrices.prefault({ acceleratorSecond: 1 }),
  /** Prices by stage name, which replace the standard ones. */
  stages: z.record(z.string(), UnitPrices).default({}),
  /** Whether cancelled, hedged and failed work is billed to the account. */
  billOverhead: z.boolean().default(true),
});
export type Prices = z.infer<typeof Prices>;

/** Default price list, which bills accelerator seconds. */
export const DEFAULT_PRICES: Prices = Prices.parse({});

/**
 * Computes the amount for the usage of one stage.
 * @param prices - price list
 * @param stage - stage name
 * @param usage - usage of the stage
 * @returns amount in the list's currency
 */
export function priceOf(prices: Prices, stage: string, usage: Usage): number {
  const unit = prices.stages[stage] ?? prices.standard;
  return (
    (unit.acceleratorSecond * usage.acceleratorMs + unit.thousandTokensIn * usage.tokensIn) / 1000 +
    (unit.thousandTokensOut * usage.tokensOut) / 1000 +
    unit.call * usage.calls
  );
}
