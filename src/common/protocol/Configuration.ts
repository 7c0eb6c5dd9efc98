/** Pipeline templates, client accounts, server flags and the changes that make up the configuration log. */
import { z } from 'zod';
import { StageKind } from './Attempt.js';

export const CONFIGURATION_TABLE = 'configuration';
export const CONFIGURATION_HEAD_KEY = 'head';
export const MAX_STAGES = 8;

const Name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits, hyphens');

/** JSON schema (draft 2020-12) of a stage's input or output, checked with ajv. */
const JsonSchema = z.record(z.string(), z.unknown());

/** One stage of a pipeline. */
export const Stage = z.object({
  name: Name,
  kind: StageKind,
  /** Pool of backend servers that run it. */
  pool: Name,
  model: z.string().optional(),
  operation: Name.optional(),
  idempotent: z.boolean().default(true),
  /**
   * Input fields. A string that starts with `$` is a reference: `$request.FIELD` or `$STAGE.FIELD`;
   * any other value is a literal.
   */
  input: z.record(z.string(), z.unknown()),
  inputSchema: JsonSchema.optional(),
  outputSchema: JsonSchema.optional(),
});
export type Stage = z.infer<typeof Stage>;

/** A pipeline: stages that run one after another. The last stage's output is the answer. */
export const Template = z
  .object({ name: Name, stages: z.array(Stage).min(1).max(MAX_STAGES) })
  .superRefine((template, context) => {
    const names = new Set<string>(['request']);
    template.stages.forEach((stage, position) => {
      if (names.has(stage.name)) {
        context.addIssue({
          code: 'custom',
          path: ['stages', position, 'name'],
          message: `stage name "${stage.name}" is reserved or used twice`,
        });
      }
      if (!stage.idempotent && stage.kind !== 'call') {
        context.addIssue({
          code: 'custom',
          path: ['stages', position, 'idempotent'],
          message: 'only call stages may be non-idempotent',
        });
      }
      if (stage.kind === 'call' && stage.operation === undefined) {
        context.addIssue({
          code: 'custom',
          path: ['stages', position, 'operation'],
          message: 'a call stage needs an operation',
        });
      }
      names.add(stage.name);
    });
  });
export type Template = z.infer<typeof Template>;

/** What one account may do with one template. */
export const Entitlement = z.object({
  /** Deadline of a request, in milliseconds. */
  deadlineMs: z.number().int().positive().max(600_000),
  /** Stages that the account uses; all if absent. A stage left out is skipped. */
  stages: z.array(Name).optional(),
});
export type Entitlement = z.infer<typeof Entitlement>;

/** A client account and its parameters. */
export const Account = z.object({
  id: Name,
  /** SHA-256 of the bearer token, hexadecimal. */
  tokenDigest: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits'),
  /** 0 (lowest) to 9 (highest). */
  priority: z.number().int().min(0).max(9).default(5),
  /** Share of spend; shares are relative to the sum over all accounts. */
  share: z.number().positive().default(1),
  /** By template name. */
  templates: z.record(Name, Entitlement),
});
export type Account = z.infer<typeof Account>;

/** Operator's flags of a backend server. */
export const Server = z.object({ id: Name, draining: z.boolean().default(false) });
export type Server = z.infer<typeof Server>;

/** What a change publishes, changes or retires. */
export const ConfigurationSubject = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('template'), value: Template }),
  z.object({ kind: z.literal('account'), value: Account }),
  z.object({ kind: z.literal('server'), value: Server }),
  z.object({ kind: z.literal('template-retired'), name: Name }),
  z.object({ kind: z.literal('account-retired'), name: Name }),
]);

/** One immutable row of the configuration log. */
export const Change = z.object({
  revision: z.number().int().positive(),
  /** Made by the operator's client; settles whether a write with a lost answer took effect. */
  changeId: z.string().min(1),
  /** Operator that made it. */
  author: z.string().min(1),
  /** Wall-clock milliseconds since 1970-01-01 UTC. */
  at: z.number(),
  subject: ConfigurationSubject,
});
export type Change = z.infer<typeof Change>;
export type ChangeSubject = Change['subject'];

/** Value of the head row. */
export const ConfigurationHead = z.object({ revision: z.number().int().nonnegative() });
export type ConfigurationHead = z.infer<typeof ConfigurationHead>;

/** Everything in force at one revision. */
export interface ConfigurationSnapshot {
  readonly revision: number;
  readonly templates: ReadonlyMap<string, Template>;
  readonly accounts: ReadonlyMap<string, Account>;
  /** Client account id by token digest. */
  readonly accountsByToken: ReadonlyMap<string, Account>;
  readonly servers: ReadonlyMap<string, Server>;
}

/**
 * Key of a change row.
 * @param revision - revision that the change makes
 * @returns key whose byte order is the order of revisions
 */
export function changeKey(revision: number): string {
  return `change/${String(revision).padStart(12, '0')}`;
}
