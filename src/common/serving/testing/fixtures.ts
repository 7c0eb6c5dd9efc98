/** Creates configurations, servers and tasks for tests. */
import type {
  BackendServer,
  Route,
  ServingConfiguration,
  StageCapacity,
} from '../ServingConfiguration.js';
import { ServerDepartures } from '../ServerDepartures.js';
import { ServerStatements } from '../ServerStatements.js';
import type { Clock } from '../../time/Types.js';
import type { StageRules } from '../StageQueue.js';
import type { StageTask } from '../Types.js';

/** @returns capacity of a retrieval service whose calls have a large fixed duration */
export function createCapacity(overrides: Partial<StageCapacity> = {}): StageCapacity {
  return {
    concurrentCalls: 1,
    batchSize: 12,
    callMs: 150,
    pieceMs: 10,
    resultRoomBytes: 75_000_000,
    resultRetentionMs: 4000,
    ...overrides,
  };
}

/** @returns a retrieval server whose address is derived from the digits in its id */
export function createServer(id: string, overrides: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    service: 'retrieval',
    address: `10.0.0.${id.replace(/\D/g, '') || '1'}:80`,
    failureDomain: 'north',
    slots: 1,
    isDraining: false,
    ...overrides,
  };
}

/** @returns a task with one piece that reads no results */
export function createTask(overrides: Partial<StageTask> = {}): StageTask {
  return {
    attemptId: 'attempt',
    stage: 0,
    pieces: 1,
    key: 'key',
    inputs: [],
    resultBytes: 8000,
    inputBytes: 0,
    work: 'route/0',
    priority: 1,
    dueAt: 1000,
    expiresAt: 5000,
    ...overrides,
  };
}

/** @returns a configuration with one plain route and its service */
export function createConfiguration(
  overrides: Partial<ServingConfiguration> = {},
): ServingConfiguration {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: 'plain', maxConnections: 100 }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 100_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...overrides,
  };
}

/** @returns a public route to a plain service */
export function createRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'lookup',
    host: 'shop.example',
    pathPrefix: '/lookup/',
    kind: 'safe',
    timeoutMs: 1000,
    objectiveMs: 200,
    priority: 1,
    targets: [{ service: 'plain', weight: 1 }],
    maxServers: 2,
    stages: [],
    isPublic: true,
    usesEngine: false,
    isResumable: false,
    ...overrides,
  };
}

const DEPARTURE_BOUNDS = { graceMs: 1500, registrationLifetimeMs: 5000 };

/** @returns no departures yet, with the bounds of a small deployment */
export function createDepartures(clock: Clock): ServerDepartures {
  return new ServerDepartures(clock, DEPARTURE_BOUNDS);
}

/** @returns what servers say of themselves: nothing yet, with the whole limits for this process */
export function createStatements(clock: Clock): ServerStatements {
  return new ServerStatements({
    clock,
    random: () => 0,
    departureBounds: DEPARTURE_BOUNDS,
    limitShareOf: () => 1,
  });
}

/** @returns rules of a queue that may retry, and whose tasks may share calls */
export function createStageRules(clock: Clock, overrides: Partial<StageRules> = {}): StageRules {
  return {
    limits: createStatements(clock),
    mayRetry: () => true,
    mustRunAlone: () => false,
    ...overrides,
  };
}
