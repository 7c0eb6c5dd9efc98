/** Evidence about requests that crash servers, as processes exchange it. */
import { z } from 'zod';

/** Id of a request or of an incarnation of a server. Bounded, as it becomes a part of heartbeats. */
export const EvidenceId = z.string().max(300);

/** A request that ran on a server when it ended, and the time since it was sent there, in ms. */
const RunningRequest = z.tuple([EvidenceId, z.number().min(0)]);

/** A server that ended, and the requests that were lost with it. */
const RequestCrash = z.object({
  /** Identifies the incarnation of the server. */
  server: EvidenceId,
  /** Time since the crash, in ms. */
  ageMs: z.number().min(0),
  requests: z.array(RunningRequest),
});

/** What a process knows about requests that may crash servers; sent to its peers. */
export const RequestCrashEvidence = z.object({
  crashes: z.array(RequestCrash),
  /** Time since the last complete response, in ms, for requests of the crashes. */
  completed: z.record(EvidenceId, z.number().min(0)),
});
export type RequestCrashEvidence = z.infer<typeof RequestCrashEvidence>;
