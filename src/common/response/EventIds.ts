const DECIMAL = /^\d+$/;

/**
 * Compares event ids, which increase within a stream. Servers may use numbers that are too large for
 * the number type, such as times in nanoseconds.
 * @param id - id of an event
 * @param previous - id of the last event that was received
 * @returns whether the event is a later one
 */
export function isLaterEvent(id: string, previous: string): boolean {
  // An id that is no number says nothing about the order.
  if (!DECIMAL.test(id) || !DECIMAL.test(previous)) return !(Number(id) <= Number(previous));
  const [left, right] = [withoutLeadingZeros(id), withoutLeadingZeros(previous)];
  return left.length === right.length ? left > right : left.length > right.length;
}

function withoutLeadingZeros(digits: string): string {
  return digits.startsWith('0') ? digits.replace(/^0+/, '') : digits;
}
