/** Longest name that a message shows, in UTF-16 code units. */
const MAX_NAME_LENGTH = 100;

/**
 * Quotes a name for a message. Control characters are escaped, and long names are cut, as thousands
 * of messages may contain the same one.
 * @param name - name from a configuration
 * @returns name in double quotes
 */
export function quote(name: string): string {
  if (name.length <= MAX_NAME_LENGTH) return JSON.stringify(name);
  return `${JSON.stringify(name.slice(0, MAX_NAME_LENGTH))}...`;
}
