/** Positions in the history of the metadata store. */
import { z } from 'zod';

/**
 * Point in the history of the store up to which something is known. Each restore from a copy begins
 * a new era, in which the store gives out again the versions after the copy.
 */
export const StorePosition = z.object({
  /** Rises by one with each restore; 0 if the store names none. */
  era: z.number(),
  /** Version of the store within the era; -1 for none. */
  version: z.number(),
});
export type StorePosition = z.infer<typeof StorePosition>;

/** Position of a process that knows nothing yet. */
export const UNKNOWN_POSITION: StorePosition = { era: 0, version: -1 };

/**
 * @param left - position to compare
 * @param right - position that it is compared with
 * @returns whether `left` is later; versions of different eras do not compare
 */
export function isLaterPosition(left: StorePosition, right: StorePosition): boolean {
  return left.era === right.era ? left.version > right.version : left.era > right.era;
}
