/** Creates messages between serving processes for tests. */
import type { Heartbeat } from '../PeerMessages.js';

/** @returns heartbeat of a ready process without load */
export function createHeartbeat(id: string, overrides: Partial<Heartbeat> = {}): Heartbeat {
  return {
    id,
    incarnation: 1,
    address: '127.0.0.1:1',
    channel: '127.0.0.1:2',
    weight: 1,
    isLeaving: false,
    configurationVersion: 1,
    serverEra: 0,
    serverVersion: 1,
    serverDigest: 0,
    backlogs: {},
    stageLoads: {},
    engines: {},
    engineSpeeds: { window: 0, engines: {} },
    crashEvidence: { crashes: [], completed: {} },
    requestCrashEvidence: { crashes: [], completed: {} },
    serverLimits: {},
    departures: {},
    coldServers: {},
    streamOrigins: [],
    ...overrides,
  };
}
