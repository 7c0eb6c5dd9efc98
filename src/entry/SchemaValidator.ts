import { Ajv2020, type ValidateFunction } from 'ajv/dist/2020.js';
import { LRUCache } from 'lru-cache';
import type { Stage } from '../common/protocol/Configuration.js';

/** Number of compiled schemas in the cache; a template has at most 16. */
const MAX_SCHEMAS = 1000;

type JsonSchema = NonNullable<Stage['inputSchema']>;

/** Validates stage inputs and outputs against the JSON schemas of the template. */
export class SchemaValidator {
  /** Keyed by schema object, as every revision of a template has new schema objects. */
  private readonly compiled = new LRUCache<JsonSchema, ValidateFunction>({ max: MAX_SCHEMAS });

  /**
   * @param schema - schema of a stage's input or output, if any
   * @param value - input or output
   * @returns description of the mismatch, or null if the value is valid
   */
  findProblem(schema: JsonSchema | undefined, value: unknown): string | null {
    if (!schema) return null;
    try {
      const validate = this.compile(schema);
      if (validate(value)) return null;
      return (validate.errors ?? [])
        .map((error) => `${error.instancePath || '(root)'} ${error.message ?? ''}`)
        .join('; ');
    } catch (error) {
      return `the schema is invalid: ${error instanceof Error ? error.message : String(error)}`;
    }
  }

  private compile(schema: JsonSchema): ValidateFunction {
    const cached = this.compiled.get(schema);
    if (cached) return cached;
    // One Ajv instance per schema, so that Ajv's internal cache is freed along with the schema.
    const validate = new Ajv2020({ strict: false, logger: false }).compile(schema);
    this.compiled.set(schema, validate);
    return validate;
  }
}
