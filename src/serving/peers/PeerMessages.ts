/** Messages between serving processes. */
import { z } from 'zod';
import type { TaskOutcome } from '../../common/serving/StageQueue.js';

/** Sent by every process to all others several times a second, as one datagram. */
export const Heartbeat = z.object({
  id: z.string(),
  /** Start of the process; a later one replaces an earlier one of the same id. */
  incarnation: z.number(),
  /** Address for calls and datagrams, `ip:port`. */
  address: z.string(),
  /** Address for stage orders, `ip:port`. */
  channel: z.string(),
  /** Share of batching that the process can carry, relative to others. */
  weight: z.number().positive(),
  /** True if the process stops; it gets no new work. */
  isLeaving: z.boolean(),
  configurationVersion: z.number(),
  /** Version of the store up to which the sender knows the backend servers; -1 for none. */
  serverVersion: z.number(),
  /** Tells whether two processes know the same registrations. */
  serverDigest: z.number(),
  /** Time in which everything that waits could be started, by stage service, in ms. */
  backlogs: z.record(z.string(), z.number()),
  /** Own requests at each engine: running, and prompt tokens not read yet. */
  engines: z.record(z.string(), z.tuple([z.number(), z.number()])),
});
export type Heartbeat = z.infer<typeof Heartbeat>;

/** Row by which a process makes itself known to the others. */
export const MemberRow = z.object({ id: z.string(), address: z.string() });
export type MemberRow = z.infer<typeof MemberRow>;

/** Asks a process to run all pieces of a stage of one request. */
export const StageOrder = z.object({
  service: z.string(),
  attemptId: z.string(),
  stage: z.number().int(),
  pieces: z.number().int().min(1),
  key: z.string().optional(),
  inputs: z.array(z.string()),
  resultBytes: z.number(),
  inputBytes: z.number(),
  work: z.string(),
  preferredDomain: z.string().optional(),
  priority: z.number(),
  /** Time left for the stage to meet the objective of its request, in ms; negative if it can't. */
  dueInMs: z.number(),
  /** Time after which the results are of no use, in ms. */
  expiresInMs: z.number(),
});
export type StageOrder = z.infer<typeof StageOrder>;

/** Sent to the process that batches a service. */
export const ChannelRequest = z.discriminatedUnion('type', [
  z.object({ type: z.literal('run'), id: z.number(), order: StageOrder }),
  z.object({ type: z.literal('cancel'), id: z.number() }),
  z.object({ type: z.literal('release'), handles: z.array(z.string()) }),
]);
export type ChannelRequest = z.infer<typeof ChannelRequest>;

/** Sent back when a stage ended. */
export interface ChannelReply {
  readonly id: number;
  readonly outcome: TaskOutcome;
}

/** All registrations of backend servers that a process knows, as they stand in the store. */
export interface RegistrationCopy {
  readonly version: number;
  /** Keys and base64 values of the rows. */
  readonly rows: readonly (readonly [string, string])[];
}

/** The newest configuration that a process holds, as it stands in the store. */
export interface ConfigurationCopy {
  readonly version: number;
  /** Row value in base64. */
  readonly value: string;
}
