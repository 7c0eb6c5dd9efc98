/** Messages between serving processes. */
import { z } from 'zod';
import { EndpointAddress } from '../../common/protocol/EndpointAddress.js';
import {
  ConfigurationHistory,
  ConfigurationState,
} from '../../common/serving/ConfigurationState.js';
import { ColdServerReports } from '../../common/serving/ColdServers.js';
import { CrashEvidence } from '../../common/serving/CrashEvidence.js';
import { RequestCrashEvidence } from '../../common/serving/RequestCrashEvidence.js';
import { EvacuationReport } from '../../common/serving/EvacuationView.js';
import { ServerDepartureReports } from '../../common/serving/ServerDepartures.js';
import { ServerLimitReports } from '../../common/serving/ServerLimits.js';
import { EngineSpeedReport } from '../../common/serving/EngineSpeeds.js';
import { StageLoad } from '../../common/serving/StageLoad.js';
import { StorePosition } from '../../common/serving/StorePosition.js';
import { StreamGroup } from '../../common/serving/StreamOrigins.js';

/** State of a process, which it sends to all others several times a second, as one datagram. */
export const Heartbeat = z.object({
  id: z.string(),
  /** Start time of the process; a later incarnation replaces an earlier one of the same id. */
  incarnation: z.number(),
  /** Address for calls and datagrams. */
  address: EndpointAddress,
  /** Address for stage requests. */
  channel: EndpointAddress,
  /** Capacity for batching, relative to other processes. */
  weight: z.number().positive(),
  /** Whether the process is stopping; it receives no new work. */
  isLeaving: z.boolean(),
  /** Version of the sender's configuration; -1 for none. */
  configurationVersion: z.number(),
  /** Where it and the store's configuration were written; older versions send none. */
  configurationState: ConfigurationState.optional(),
  /** Era of {@link serverVersion}; older versions send none. */
  serverEra: z.number().default(0),
  /** Version of the store up to which the sender knows the registrations; -1 for none. */
  serverVersion: z.number(),
  /** Hash of the sender's registrations; equal in processes that know the same ones. */
  serverDigest: z.number(),
  /**
   * Time until all pieces waiting at the sender could be started, by stage service, in ms. Only for
   * older versions, which need it; newer ones read {@link stageLoads}.
   */
  backlogs: z.record(z.string(), z.number().min(0)),
  /** Load of the stage services that the sender batches; older versions send none. */
  stageLoads: z.record(z.string(), StageLoad).default({}),
  /** Sender's load on each engine: running requests, and prompt tokens not yet prefilled. */
  engines: z.record(z.string(), z.tuple([z.number(), z.number()])),
  /** Times to the first event that the sender saw; older versions send none. */
  engineSpeeds: EngineSpeedReport.default({ window: 0, engines: {} }),
  /** What the sender knows about prompt parts that crash servers; older versions send none. */
  crashEvidence: CrashEvidence.default({ crashes: [], completed: {} }),
  /** What the sender knows about requests that crash servers; older versions send none. */
  requestCrashEvidence: RequestCrashEvidence.default({ crashes: [], completed: {} }),
  /** Limits that servers named in responses to the sender; older versions send none. */
  serverLimits: ServerLimitReports.default({}),
  /** Servers that the sender knows to leave; older versions send none. */
  departures: ServerDepartureReports.default({}),
  /** Cold periods that the sender knows itself; older versions send none. */
  coldServers: ColdServerReports.default({}),
  /** Evacuated failure domains; absent while unknown, and older versions send none. */
  evacuations: EvacuationReport.optional(),
  /** Where the newest streams of the sender began; older versions send none. */
  streamOrigins: z.array(StreamGroup).default([]),
});
export type Heartbeat = z.infer<typeof Heartbeat>;

/** Row in the store with which a process announces its address to its peers. */
export const MemberRow = z.object({
  id: z.string(),
  address: EndpointAddress,
});
export type MemberRow = z.infer<typeof MemberRow>;

/** Maximum number of pieces of one stage of a request. */
export const MAX_PIECES = 100_000;

/** Request to run all pieces of one stage of a caller's request. */
export const StageRequest = z.object({
  service: z.string(),
  attemptId: z.string(),
  stage: z.number().int(),
  pieces: z.number().int().min(1).max(MAX_PIECES),
  key: z.string().optional(),
  inputs: z.array(z.string()),
  resultBytes: z.number(),
  inputBytes: z.number(),
  work: z.string(),
  /** Identifies the request when it is repeated; older versions send none. */
  fingerprint: z.string().optional(),
  preferredDomain: z.string().optional(),
  priority: z.number(),
  /** Time in which the stage must end to meet the latency objective, in ms; negative if missed. */
  dueInMs: z.number(),
  /** Time after which the results are useless, in ms. */
  expiresInMs: z.number(),
});
export type StageRequest = z.infer<typeof StageRequest>;

/** Message to the process that batches a service. */
export const ChannelRequest = z.discriminatedUnion('type', [
  z.object({ type: z.literal('run'), id: z.number(), order: StageRequest }),
  z.object({ type: z.literal('cancel'), id: z.number() }),
  z.object({ type: z.literal('release'), handles: z.array(z.string()) }),
]);
export type ChannelRequest = z.infer<typeof ChannelRequest>;

/** Reply when a stage has ended. */
export const ChannelReply = z.object({
  id: z.number(),
  outcome: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('done'), handles: z.array(z.string()) }),
    z.object({ kind: z.enum(['expired', 'input-gone', 'failed']) }),
  ]),
});
export type ChannelReply = z.infer<typeof ChannelReply>;

/**
 * All registrations of backend servers that a process knows, encoded as in the store. Older versions
 * send no era.
 */
export const RegistrationSnapshot = StorePosition.extend({
  era: z.number().default(0),
  /** Keys and base64 values of the rows. */
  rows: z.array(z.tuple([z.string(), z.string()])),
});
export type RegistrationSnapshot = z.infer<typeof RegistrationSnapshot>;

/** Query for the configuration of a process; older versions send none. */
export const ConfigurationQuery = z.object({
  /** Whether the value may be compressed with gzip. */
  acceptsGzip: z.boolean(),
});
export type ConfigurationQuery = z.infer<typeof ConfigurationQuery>;

/**
 * The configuration of a process, encoded as in the store, and what it knows about its order. Older
 * versions send no state and no numbers of the known ones.
 */
export const ConfigurationSnapshot = ConfigurationHistory.extend({
  /** Row value in base64. */
  value: z.string(),
  /** Whether the value is compressed with gzip; older versions do not say it, as it never is. */
  isCompressed: z.boolean().optional(),
});
export type ConfigurationSnapshot = z.infer<typeof ConfigurationSnapshot>;
