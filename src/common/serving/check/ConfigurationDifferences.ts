/** Compares two versions of a configuration. */
import type { ServingConfiguration } from '../ServingConfiguration.js';
import { quote } from './Quote.js';
import type { FieldPath, Finding } from './Types.js';

/** One difference between two versions. */
export interface Difference {
  readonly change: 'added' | 'removed' | 'changed';
  /** The entry, such as `route "read"`. */
  readonly subject: string;
  /** Path in the new version; absent for `removed`. */
  readonly path?: FieldPath;
  /** Path in the former version; absent for `added`. */
  readonly formerPath?: FieldPath;
  /** Describes a change whose values must not be shown. */
  readonly summary?: string;
}

/** Place of a value in both versions. */
interface Place {
  readonly subject: string;
  readonly path: FieldPath;
  readonly formerPath: FieldPath;
}

type Entry = Readonly<Record<string, unknown>> & { readonly name: string };

/** Fields whose values are secrets, with functions that describe a change without showing them. */
const SECRET_FIELDS: Readonly<Record<string, (former: unknown, next: unknown) => string>> = {
  apiKeys: (former, next) => {
    const formerKeys = new Set(former as string[]);
    const keys = new Set(next as string[]);
    const added = [...keys].filter((key) => !formerKeys.has(key)).length;
    const removed = [...formerKeys].filter((key) => !keys.has(key)).length;
    return `${added} added, ${removed} removed`;
  },
};

/**
 * Compares two versions. Routes, services and accounts are matched by name, so their order does not
 * matter; entries of the same name are matched in their order.
 * @param former - version in force
 * @param next - version that is to replace it
 * @returns differences other than the version number
 */
export function compareConfigurations(
  former: ServingConfiguration,
  next: ServingConfiguration,
): Difference[] {
  const limits = { subject: 'limits', path: ['limits'], formerPath: ['limits'] };
  return [
    ...compareEntries('routes', 'route', former.routes, next.routes),
    ...compareEntries('services', 'service', former.services, next.services),
    ...compareValues(limits, former.limits, next.limits),
    ...compareAccounts(former, next),
  ];
}

/**
 * Finds a version number with which the serving processes would ignore the differences.
 * @param former - version in force
 * @param next - version that is to replace it
 * @param differences - differences between them
 * @returns the finding, if there is one
 */
export function findLowVersion(
  former: ServingConfiguration,
  next: ServingConfiguration,
  differences: readonly Difference[],
): Finding[] {
  if (next.version > former.version) return [];
  if (next.version === former.version && differences.length === 0) return [];
  const message = `version ${next.version} is not above version ${former.version}, which is in force, so it would be ignored`;
  return [{ rule: 'version-not-higher', severity: 'error', path: ['version'], message }];
}

/** Without accounts no request needs a key; an empty list is a different configuration. */
function compareAccounts(former: ServingConfiguration, next: ServingConfiguration): Difference[] {
  const entries = compareEntries('accounts', 'account', former.accounts ?? [], next.accounts ?? []);
  const isAdded = !former.accounts && next.accounts;
  const isRemoved = former.accounts && !next.accounts;
  if (isAdded) return [{ change: 'added', subject: 'accounts', path: ['accounts'] }, ...entries];
  if (!isRemoved) return entries;
  return [{ change: 'removed', subject: 'accounts', formerPath: ['accounts'] }, ...entries];
}

function compareEntries(
  field: string,
  kind: string,
  former: readonly Entry[],
  next: readonly Entry[],
): Difference[] {
  const formerIndexes = indexByName(former);
  const nextIndexes = indexByName(next);
  const removed = [...formerIndexes].flatMap(([key, index]): Difference[] => {
    if (nextIndexes.has(key)) return [];
    const subject = `${kind} ${quote(former[index]!.name)}`;
    return [{ change: 'removed', subject, formerPath: [field, index] }];
  });
  const others = [...nextIndexes].flatMap(([key, index]): Difference[] => {
    const entry = next[index]!;
    const subject = `${kind} ${quote(entry.name)}`;
    const path = [field, index];
    const formerIndex = formerIndexes.get(key);
    if (formerIndex === undefined) return [{ change: 'added', subject, path }];
    const place = { subject, path, formerPath: [field, formerIndex] };
    return compareValues(place, former[formerIndex], entry);
  });
  return [...removed, ...others];
}

/** @returns indexes of the entries by name and number of earlier entries with this name */
function indexByName(entries: readonly Entry[]): Map<string, number> {
  const counts = new Map<string, number>();
  return new Map(
    entries.map(({ name }, index) => {
      const count = counts.get(name) ?? 0;
      counts.set(name, count + 1);
      return [JSON.stringify([name, count]), index];
    }),
  );
}

function compareValues(place: Place, former: unknown, next: unknown): Difference[] {
  if (!isContainer(former) || !isContainer(next) || !haveSameShape(former, next)) {
    return JSON.stringify(former) === JSON.stringify(next) ? [] : [{ change: 'changed', ...place }];
  }
  const fields = new Set([...Object.keys(former), ...Object.keys(next)]);
  return [...fields].flatMap((field): Difference[] => {
    if (former[field] === next[field]) return [];
    const segment = Array.isArray(next) ? Number(field) : field;
    const inner = {
      subject: place.subject,
      path: [...place.path, segment],
      formerPath: [...place.formerPath, segment],
    };
    const summarize = SECRET_FIELDS[field];
    if (!summarize) return compareValues(inner, former[field], next[field]);
    if (JSON.stringify(former[field]) === JSON.stringify(next[field])) return [];
    return [{ change: 'changed', ...inner, summary: summarize(former[field], next[field]) }];
  });
}

/** Arrays of different lengths are compared as a whole. */
function haveSameShape(former: object, next: object): boolean {
  if (!Array.isArray(former) || !Array.isArray(next)) {
    return Array.isArray(former) === Array.isArray(next);
  }
  return former.length === next.length;
}

function isContainer(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}
