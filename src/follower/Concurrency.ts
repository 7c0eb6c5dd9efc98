/** Bounded concurrency of calls to many processes. */

/**
 * Maximum number of concurrent calls. With 1,100 processes, each worker makes about 35 calls of a
 * few ms in sequence.
 */
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
