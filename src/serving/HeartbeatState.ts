import { batchingWeight } from './BatchingWeight.js';
import type { ConfigurationView } from './ConfigurationView.js';
import type { RegistrationView } from './RegistrationView.js';
import type { ServerObservations } from './ServerObservations.js';
import type { ServingSettings } from './ServingSettings.js';
import type { StageBatcher } from './StageBatcher.js';
import type { Heartbeat } from './peers/PeerMessages.js';

/** State of a process that its heartbeats carry. */
export interface HeartbeatParts {
  readonly configuration: ConfigurationView;
  readonly registrations: RegistrationView;
  readonly batcher: StageBatcher;
  readonly observations: ServerObservations;
}

/**
 * @param settings - settings of the process
 * @param incarnation - start time of the process, in Unix ms
 * @returns the part of heartbeats that does not change
 */
export function identityOf(
  { id, ip, internalPorts, instance }: ServingSettings,
  incarnation: number,
): Pick<Heartbeat, 'id' | 'incarnation' | 'address' | 'channel' | 'weight'> {
  // The first port serves calls, heartbeats and metrics, the second one stage requests.
  const [callPort, channelPort] = internalPorts;
  return {
    id,
    incarnation,
    address: `${ip}:${callPort}`,
    channel: `${ip}:${channelPort}`,
    weight: batchingWeight(instance),
  };
}

/**
 * @param parts - state of the process
 * @returns the part of a heartbeat that changes, but for whether the process is leaving
 */
export function createHeartbeatState({
  configuration,
  registrations,
  batcher,
  observations,
}: HeartbeatParts): Omit<Heartbeat, keyof ReturnType<typeof identityOf> | 'isLeaving'> {
  return {
    configurationVersion: configuration.version,
    configurationState: configuration.state,
    serverEra: registrations.position.era,
    serverVersion: registrations.position.version,
    serverDigest: registrations.digest,
    backlogs: batcher.backlogs(),
    stageLoads: batcher.loads(),
    ...observations.heartbeat,
  };
}
