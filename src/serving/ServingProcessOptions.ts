import type { Clock } from '../common/time/Types.js';
import type { RowFeed } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Metrics } from '../telemetry/Metrics.js';
import type { ServingSettings } from './ServingSettings.js';
import type { RowDecoder, ServingProtocol } from './Types.js';

/** Names of tables and keys in the store. */
export interface StoreNames {
  readonly configurationTable: string;
  readonly configurationKey: string;
  /** Keys of the configuration's table that begin with this evacuate the failure domain that follows. */
  readonly evacuationKeyPrefix: string;
  readonly serverTable: string;
  readonly memberTable: string;
  readonly crashCauseTable: string;
  readonly streamTable: string;
}

/** Settings and platform-specific parts of a {@link ServingProcess}. */
export interface ServingProcessOptions {
  readonly settings: ServingSettings;
  readonly protocol: ServingProtocol;
  readonly decoder: RowDecoder;
  readonly names: StoreNames;
  /** Opens a connection to the store; each follower uses a separate one. */
  readonly createFeed: (address: string) => RowFeed;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
