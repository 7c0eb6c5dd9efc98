/** Formats the findings about a configuration and its differences from another version. */
import type { Difference } from '../common/serving/check/ConfigurationDifferences.js';
import type { FieldPath, Severity } from '../common/serving/check/Types.js';

/** Maximum number of findings, and of differences, that are listed. */
export const MAX_LISTED = 1000;

/** Longest text of a value in a difference; longer ones are cut. */
const MAX_VALUE_LENGTH = 80;

const NOT_SET = 'not set';

/** A finding with its place in the file. */
export interface LocatedFinding {
  readonly rule: string;
  readonly severity: Severity;
  /** Such as `routes[3].prefix`; empty for the whole file. */
  readonly path: string;
  readonly line: number;
  readonly column: number;
  readonly message: string;
}

/** A difference with the paths and values of both files. */
export interface LocatedDifference {
  readonly change: Difference['change'];
  readonly subject: string;
  readonly path?: string;
  readonly formerPath?: string;
  /** Values, for a change that may show them; undefined for a field that is not set. */
  readonly values?: { readonly former: unknown; readonly next: unknown };
  /** Describes a change whose values are not shown. */
  readonly summary?: string;
}

/** Result of a check. Lists contain at most {@link MAX_LISTED} entries. */
export interface ConfigurationReport {
  readonly file: string;
  /** Version number; absent if the file does not fit the schema. */
  readonly version?: number;
  readonly findingCount: number;
  readonly findings: readonly LocatedFinding[];
  /** Absent without a version to compare with. */
  readonly comparison?: {
    /** File or store of the other version. */
    readonly source: string;
    readonly version: number;
    readonly differenceCount: number;
    readonly differences: readonly LocatedDifference[];
  };
}

/**
 * Formats a path.
 * @param path - names and indexes
 * @returns for example `routes[3].prefix`
 */
export function formatPath(path: FieldPath): string {
  return path
    .map((segment) => (typeof segment === 'number' ? `[${segment}]` : `.${segment}`))
    .join('')
    .replace(/^\./, '');
}

/**
 * Formats a report as text.
 * @param report - result of a check
 * @returns lines: findings, their number, differences
 */
export function formatReport(report: ConfigurationReport): string[] {
  const { file, version, findingCount, findings, comparison } = report;
  const name = version === undefined ? file : `${file}, version ${version}`;
  const total = findingCount === 1 ? '1 finding' : `${findingCount || 'no'} findings`;
  return [
    ...findings.map((finding) => formatFinding(file, finding)),
    ...omitted(findingCount, findings.length),
    `${name}: ${total}`,
    ...(comparison ? formatComparison(comparison) : []),
  ];
}

function formatFinding(file: string, finding: LocatedFinding): string {
  const { severity, path, line, column, message } = finding;
  return `${file}:${line}:${column}: ${severity}: ${path || '(whole file)'}: ${message}`;
}

function formatComparison(comparison: NonNullable<ConfigurationReport['comparison']>): string[] {
  const { source, version, differenceCount, differences } = comparison;
  const name = `version ${version} of ${source}`;
  if (differenceCount === 0) return [`no differences from ${name}`];
  const lines = differences.map((difference) => `  ${formatDifference(difference)}`);
  return [
    `differences from ${name}: ${differenceCount}`,
    ...lines,
    ...omitted(differenceCount, differences.length),
  ];
}

function formatDifference(difference: LocatedDifference): string {
  const { change, subject, path, formerPath, values, summary } = difference;
  const place = `${change} ${subject}, ${path ?? formerPath}`;
  if (summary !== undefined) return `${place}: ${summary}`;
  if (!values) return place;
  return `${place}: ${formatValue(values.former)} -> ${formatValue(values.next)}`;
}

function formatValue(value: unknown): string {
  const text = value === undefined ? NOT_SET : JSON.stringify(value);
  return text.length <= MAX_VALUE_LENGTH ? text : `${text.slice(0, MAX_VALUE_LENGTH)}...`;
}

function omitted(count: number, listed: number): string[] {
  return count > listed ? [`... and ${count - listed} more`] : [];
}
