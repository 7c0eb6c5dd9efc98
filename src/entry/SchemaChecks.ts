import { Ajv2020, type ValidateFunction } from 'ajv/dist/2020.js';
import { LRUCache } from 'lru-cache';
import type { Stage } from '../common/protocol/Configuration.js';

/** Compiled schemas kept; a template has at most 16. */
const MAX_SCHEMAS = 1000;

type JsonSchema = NonNullable<Stage['inputSchema']>;

/** Checks stage inputs and outputs against the JSON schemas of the template. */
export class SchemaChecks {
  /** By schema object: a new revision of a template brings new objects. */
  private readonly compiled = new LRUCache<JsonSchema, ValidateFunction>({ max: MAX_SCHEMAS });

  /**
   * @param schema - schema of a stage's input or output, if it has one
   * @param value - value to check
   * @returns what is wrong, or null
   */
  findProblem(schema: JsonSchema | undefined, value: unknown): string | null {
    if (!schema) return null;
    try {
      const validate = this.compile(schema);
      if (validate(value)) return null;
      return (validate.errors ?? [])
        .map((error) => `${error.instancePath || '(whole value)'} ${error.message ?? ''}`)
        .join('; ');
    } catch (error) {
      return `the schema is invalid: ${error instanceof Error ? error.message : String(error)}`;
    }
  }

  private compile(schema: JsonSchema): ValidateFunction {
    const known = this.compiled.get(schema);
    if (known) return known;
    // One instance per schema, so that the instance's own cache goes when the schema goes.
    const validate = new Ajv2020({ strict: false, logger: false }).compile(schema);
    this.compiled.set(schema, validate);
    return validate;
  }
}
