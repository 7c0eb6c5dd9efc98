/** Bounded concurrency of calls to many processes. */

/** Maximum concurrent calls; 1,100 processes are reached in about 35 rounds of a few ms each. */
export const CALL_CONCURRENCY = 32;

/**
 * Applies an asynchronous function to all items, {@link CALL_CONCURRENCY} at a time.
 * @param items - items to process
 * @param apply - function; must not reject
 * @returns results in the order of the items
 */
export async function mapConcurrently<T, R>(
  items: readonly T[],
  apply: (item: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  // All workers share one iterator, so each item is processed exactly once.
  const remaining = items.entries();
  const worker = async (): Promise<void> => {
    for (const [position, item] of remaining) results[position] = await apply(item);
  };
  await Promise.all(Array.from({ length: Math.min(CALL_CONCURRENCY, items.length) }, worker));
  return results;
}
