import type { FieldPath } from '../common/serving/check/Types.js';
import type { ServingConfiguration } from '../common/serving/ServingConfiguration.js';
import type { PlatformResult } from '../storage/Types.js';

/** A value that does not fit the schema. */
export interface FormatProblem {
  /** Path in the file. */
  readonly path: FieldPath;
  readonly message: string;
}

/**
 * Outcome of decoding a configuration.
 * - `unreadable`: the text is not JSON or exceeds its bounds.
 * - `invalid`: values do not fit the schema.
 */
export type DecodedConfiguration =
  | { readonly kind: 'valid'; readonly value: ServingConfiguration; readonly document: unknown }
  | { readonly kind: 'invalid'; readonly problems: readonly FormatProblem[] }
  | { readonly kind: 'unreadable'; readonly message: string };

/** The form in which the operator writes a configuration, and the store that holds it. */
export interface ConfigurationFormat {
  /** Decodes a text with the schemas of the serving process. */
  decode(text: string): DecodedConfiguration;
  /**
   * @param path - path in the names of the schema
   * @param document - the JSON document that was decoded
   * @returns the path of the same field in the document
   */
  pathInDocument(path: FieldPath, document: unknown): FieldPath;
  /**
   * Reads the configuration that the store holds.
   * @param address - `ip:port` of the store
   * @param timeoutMs - time-out of each call, in ms
   * @returns the encoded configuration, or why it cannot be read
   */
  readStored(address: string, timeoutMs: number): Promise<PlatformResult<Buffer>>;
}
