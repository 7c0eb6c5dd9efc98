/** Bodies of the operator interface, under `/v1/operator/` of an entry. */
import { z } from 'zod';
import type { EntryStatus, ServerStatus } from './Control.js';
import { Account, Change, ConfigurationSubject, Server, Template } from './Configuration.js';

/** Path prefix of the operator interface. */
export const OPERATOR_PATH = '/v1/operator/';

/** Body of `POST /v1/operator/changes`. */
export const ChangeRequest = z.strictObject({
  /** Revision that the change was made for; a conflict if another one is the newest. */
  expectedRevision: z.number().int().nonnegative(),
  /** Made by the client. Sending it again with the same id never makes a second change. */
  changeId: z.string().min(1).max(128),
  subject: ConfigurationSubject,
});
export type ChangeRequest = z.infer<typeof ChangeRequest>;

/** Body of `POST /v1/operator/servers/{id}/drain` and `/resume`. */
export const DrainRequest = z.strictObject({ changeId: z.string().min(1).max(128) });

/** Answer to a change. */
export const ChangeReply = z.object({ change: Change });

/** One field of a change that is wrong. */
export const FieldProblem = z.object({
  path: z.array(z.union([z.string(), z.number()])),
  message: z.string(),
});
export type FieldProblem = z.infer<typeof FieldProblem>;

/**
 * Errors of the operator interface.
 * - `conflict`: another change came first; `winner` is that change.
 * - `invalid`: the change was checked and refused; nothing was published.
 * - `unavailable`: nothing was changed.
 * - `ambiguous`: the change may have been published; sending it again with its id tells.
 */
export const OperatorError = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('unauthenticated'), message: z.string() }),
  z.object({ kind: z.literal('not-found'), message: z.string() }),
  z.object({ kind: z.literal('bad-request'), message: z.string() }),
  z.object({
    kind: z.literal('invalid'),
    message: z.string(),
    problems: z.array(FieldProblem),
  }),
  z.object({
    kind: z.literal('conflict'),
    message: z.string(),
    head: z.number().int(),
    winner: Change.nullable(),
  }),
  z.object({ kind: z.literal('unavailable'), message: z.string() }),
  z.object({ kind: z.literal('ambiguous'), message: z.string() }),
]);
export type OperatorError = z.infer<typeof OperatorError>;
export type OperatorErrorKind = OperatorError['kind'];

/** HTTP status by error kind. */
export const OPERATOR_ERROR_STATUS: Readonly<Record<OperatorErrorKind, number>> = {
  unauthenticated: 401,
  'not-found': 404,
  'bad-request': 400,
  invalid: 422,
  conflict: 409,
  unavailable: 503,
  ambiguous: 504,
};

/** Answer of `GET /v1/operator/configuration`. */
export const ConfigurationReply = z.object({
  revision: z.number().int().nonnegative(),
  confirmedAgeMs: z.number().nullable(),
  templates: z.array(Template),
  accounts: z.array(Account),
  servers: z.array(Server),
});
export type ConfigurationReply = z.infer<typeof ConfigurationReply>;

/**
 * Answer of drain and resume. The agent enforces it; the configuration makes it outlast the agent.
 * `agent` is null if the agent was told, `recorded` is null if the change is in the configuration.
 */
export const DrainReply = z.object({
  serverId: z.string(),
  draining: z.boolean(),
  /** Attempts that the server still runs; null if the agent was not reached. */
  running: z.number().int().nullable(),
  /** Why the agent was not told. */
  agent: z.string().nullable(),
  /** Why the change is not in the configuration. */
  recorded: z.string().nullable(),
});
export type DrainReply = z.infer<typeof DrainReply>;

/** Answer of `GET /v1/operator/ledger`: some rows, and the key to go on after; null at the end. */
export const LedgerPage = z.object({ rows: z.array(z.unknown()), after: z.string().nullable() });
export type LedgerPage = z.infer<typeof LedgerPage>;

/** One process in the answer of `GET /v1/operator/status`; `problem` if it did not answer. */
export type ProcessStatus = {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
} & (
  | { readonly role: 'entry'; readonly status: EntryStatus }
  | { readonly role: 'agent'; readonly status: ServerStatus }
  | { readonly role: 'entry' | 'agent'; readonly problem: string }
);

/** Answer of `GET /v1/operator/status`. */
export interface StatusReply {
  /** Highest revision known to the answering entry. */
  readonly revision: number;
  readonly processes: readonly ProcessStatus[];
}
