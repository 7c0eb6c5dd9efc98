/** Command that checks a configuration of the serving processes before it is written to the store. */
import { open } from 'node:fs/promises';
import { MAX_BODY_BYTES } from '../../common/BoundedBody.js';
import { checkConfiguration } from '../../common/serving/check/ConfigurationCheck.js';
import {
  compareConfigurations,
  findLowVersion,
  type Difference,
} from '../../common/serving/check/ConfigurationDifferences.js';
import type { CheckOptions, FieldPath, Finding } from '../../common/serving/check/Types.js';
import type { ServingConfiguration } from '../../common/serving/ServingConfiguration.js';
import type { ConfigurationFormat, FormatProblem } from '../ConfigurationFormat.js';
import {
  formatPath,
  formatReport,
  MAX_LISTED,
  type ConfigurationReport,
  type LocatedDifference,
  type LocatedFinding,
} from '../ConfigurationReport.js';
import { ConfigurationText, decodeText } from '../ConfigurationText.js';
import type { CliResult, LocalOutcome } from '../Types.js';

/**
 * Largest file, in bytes: the serving processes read at most {@link MAX_BODY_BYTES} of the store,
 * which encodes rows in Base64.
 */
const MAX_FILE_BYTES = Math.floor(MAX_BODY_BYTES / 4) * 3;

/** Options of the command. */
export interface CheckConfigurationOptions {
  readonly file: string;
  /** File of the version in force. */
  readonly against?: string;
  /** `ip:port` of the store that holds the version in force. */
  readonly store?: string;
  /** Time-out of each call to the store, in ms. */
  readonly timeoutMs: number;
  readonly deployment: CheckOptions;
  readonly json: boolean;
}

/** A configuration that fits the schema, with its text. */
interface ValidVersion {
  readonly value: ServingConfiguration;
  readonly document: unknown;
  readonly text: ConfigurationText;
}

/** A version of the configuration, read and decoded. */
type ReadVersion =
  | ({ readonly kind: 'valid' } & ValidVersion)
  | {
      readonly kind: 'invalid';
      readonly problems: readonly FormatProblem[];
      readonly text: ConfigurationText;
    };

/**
 * Checks a configuration and compares it with the version in force.
 * @param format - form in which the operator writes configurations
 * @param options - files and options
 * @returns the report with exit code 0, or 1 for findings; an error if a version cannot be read
 */
export async function runConfigurationCheck(
  format: ConfigurationFormat,
  options: CheckConfigurationOptions,
): Promise<CliResult<LocalOutcome>> {
  const { file, against, store } = options;
  const read = await readFileBytes(file);
  if (!read.ok) return read;
  const version = decodeVersion(format, file, read.value);
  if (!version.ok) return version;
  const source = against ?? (store === undefined ? undefined : `store ${store}`);
  const inForce =
    source === undefined ? undefined : await readVersionInForce(format, options, source);
  if (inForce && !inForce.ok) return inForce;
  const report =
    version.value.kind === 'valid'
      ? reportOf(format, options, version.value, inForce && { source: source!, ...inForce.value })
      : reportProblems(file, version.value.text, version.value.problems);
  const lines = options.json ? [JSON.stringify(report)] : formatReport(report);
  return { ok: true, value: { exitCode: report.findingCount > 0 ? 1 : 0, lines } };
}

function reportOf(
  format: ConfigurationFormat,
  { file, deployment }: CheckConfigurationOptions,
  { value, document, text }: ValidVersion,
  inForce: (ValidVersion & { readonly source: string }) | undefined,
): ConfigurationReport {
  const differences = inForce ? compareConfigurations(inForce.value, value) : [];
  const findings = [
    ...(inForce ? findLowVersion(inForce.value, value, differences) : []),
    ...checkConfiguration(value, deployment),
  ];
  const locate = (finding: Finding) =>
    locateFinding(text, { ...finding, path: format.pathInDocument(finding.path, document) });
  return {
    ...{ file, version: value.version, findingCount: findings.length },
    findings: inOrderOfFile(findings.slice(0, MAX_LISTED).map(locate)),
    ...(inForce && {
      comparison: {
        source: inForce.source,
        version: inForce.value.version,
        differenceCount: differences.length,
        differences: differences
          .slice(0, MAX_LISTED)
          .map((difference) => locateDifference(format, difference, inForce.document, document)),
      },
    }),
  };
}

function reportProblems(
  file: string,
  text: ConfigurationText,
  problems: readonly FormatProblem[],
): ConfigurationReport {
  const toFinding = ({ path, message }: FormatProblem): LocatedFinding =>
    locateFinding(text, { rule: 'schema', severity: 'error', path, message });
  const findings = inOrderOfFile(problems.slice(0, MAX_LISTED).map(toFinding));
  return { file, findingCount: problems.length, findings };
}

function locateFinding(text: ConfigurationText, finding: Finding): LocatedFinding {
  const { path, ...rest } = finding;
  return { ...rest, path: formatPath(path), ...text.positionOf(path) };
}

function inOrderOfFile(findings: readonly LocatedFinding[]): LocatedFinding[] {
  return findings.toSorted((left, right) => left.line - right.line || left.column - right.column);
}

function locateDifference(
  format: ConfigurationFormat,
  { path, formerPath, ...difference }: Difference,
  formerDocument: unknown,
  document: unknown,
): LocatedDifference {
  const nextPath = path && format.pathInDocument(path, document);
  const previousPath = formerPath && format.pathInDocument(formerPath, formerDocument);
  const hasValues = nextPath && previousPath && difference.summary === undefined;
  return {
    ...difference,
    ...(nextPath && { path: formatPath(nextPath) }),
    ...(previousPath && { formerPath: formatPath(previousPath) }),
    ...(hasValues && {
      values: {
        former: valueAt(formerDocument, previousPath),
        next: valueAt(document, nextPath),
      },
    }),
  };
}

function valueAt(document: unknown, path: FieldPath): unknown {
  return path.reduce<unknown>(
    (value, segment) => (value as Record<string, unknown> | null | undefined)?.[segment],
    document,
  );
}

async function readVersionInForce(
  format: ConfigurationFormat,
  { against, store, timeoutMs }: CheckConfigurationOptions,
  source: string,
): Promise<CliResult<ValidVersion>> {
  const read =
    against === undefined
      ? await readStoredBytes(format, store!, timeoutMs)
      : await readFileBytes(against);
  if (!read.ok) return read;
  const version = decodeVersion(format, source, read.value);
  if (!version.ok) return version;
  if (version.value.kind === 'valid') return { ok: true, value: version.value };
  const { problems, text } = version.value;
  const lines = problems.slice(0, MAX_LISTED).map(({ path, message }) => {
    const { line, column } = text.positionOf(path);
    return `${source}:${line}:${column}: ${formatPath(path) || '(whole file)'}: ${message}`;
  });
  return unreadable(...lines);
}

async function readStoredBytes(
  format: ConfigurationFormat,
  store: string,
  timeoutMs: number,
): Promise<CliResult<Buffer>> {
  const result = await format.readStored(store, timeoutMs);
  if (result.ok) return result;
  const { error } = result;
  return unreadable(`store ${store}: ${'message' in error ? error.message : error.kind}`);
}

function decodeVersion(
  format: ConfigurationFormat,
  source: string,
  bytes: Buffer,
): CliResult<ReadVersion> {
  const decoded = decodeText(bytes);
  if (!decoded.ok) return unreadable(`${source}: ${decoded.message}`);
  const text = new ConfigurationText(decoded.text);
  const version = format.decode(decoded.text);
  if (version.kind !== 'unreadable') return { ok: true, value: { ...version, text } };
  const syntaxError = text.syntaxError();
  if (!syntaxError) return unreadable(`${source}: ${version.message}`);
  const { position, message } = syntaxError;
  return unreadable(`${source}:${position.line}:${position.column}: not JSON: ${message}`);
}

/** Reads at most one byte more than allowed, so that a huge file takes no memory. */
async function readFileBytes(file: string): Promise<CliResult<Buffer>> {
  try {
    const handle = await open(file);
    try {
      const chunks: Buffer[] = [];
      let length = 0;
      for await (const chunk of handle.createReadStream({
        end: MAX_FILE_BYTES,
        autoClose: false,
      })) {
        chunks.push(chunk as Buffer);
        length += (chunk as Buffer).length;
      }
      if (length <= MAX_FILE_BYTES) return { ok: true, value: Buffer.concat(chunks) };
      return unreadable(
        `${file}: larger than ${MAX_FILE_BYTES} bytes, which the serving processes cannot read`,
      );
    } finally {
      await handle.close();
    }
  } catch (error) {
    return unreadable(`${file}: ${error instanceof Error ? error.message : String(error)}`);
  }
}

function unreadable(...messages: string[]): {
  ok: false;
  error: { kind: 'unreadable'; messages: string[] };
} {
  return { ok: false, error: { kind: 'unreadable', messages } };
}
