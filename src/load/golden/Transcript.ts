/**
 * Records exchanges for comparison with a stored transcript (golden file). Placeholders replace the
 * ids, times and addresses, which differ between runs.
 */

/** Fields whose values differ between runs, with their placeholders. */
const VOLATILE_FIELDS: Readonly<Record<string, string>> = {
  requestId: '<request id>',
  changeId: '<change id>',
  at: '<time>',
  acceleratorMs: '<milliseconds>',
  confirmedAgeMs: '<milliseconds>',
  retryAfterMs: '<milliseconds>',
};

/** Patterns for run-specific text, replaced by their placeholders wherever it occurs. */
const VOLATILE_TEXTS: readonly (readonly [RegExp, string])[] = [
  [/entry-\d+-[0-9a-f]{16}/g, '<request id>'],
  [/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, '<uuid>'],
  [/\d{4}-\d{2}-\d{2}T\d{2}:\d{2}:\d{2}\.\d{3}Z/g, '<time>'],
  [/127\.0\.0\.1:\d+/g, '<address>'],
];

/** Transcript of a session: its exchanges in order. */
export class Transcript {
  private readonly lines: string[] = [];

  /**
   * Adds one exchange.
   * @param title - description of the request
   * @param body - received answer
   */
  add(title: string, body: unknown): void {
    this.lines.push(`## ${title}`, JSON.stringify(normalize(body), null, 2), '');
  }

  /** @returns text of all exchanges, with placeholders */
  text(): string {
    const joined = this.lines.join('\n');
    return VOLATILE_TEXTS.reduce((text, [pattern, name]) => text.replace(pattern, name), joined);
  }
}

function normalize(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(normalize);
  if (value === null || typeof value !== 'object') return value;
  const fields = Object.entries(value).map(([name, part]) => [
    name,
    part === null ? null : (VOLATILE_FIELDS[name] ?? normalize(part)),
  ]);
  return Object.fromEntries(fields);
}
