/** Subscribes the views of a process to the tables of the store. */
import type { EvacuationRow, EvacuationView } from '../common/serving/EvacuationView.js';
import type { FeedRow } from '../storage/RowFeed.js';
import type { ConfigurationView } from './ConfigurationView.js';
import type { CrashCauseTable } from './CrashCauseTable.js';
import type { RegistrationView } from './RegistrationView.js';
import type { StoreNames } from './ServingProcessOptions.js';
import type { StoreFollowers } from './StoreFollowers.js';
import { longestReadGapMs } from './TableFollower.js';
import type { Membership } from './peers/Membership.js';

/**
 * Reads of the configuration and of servers. The store charges for each call. If connections to the
 * store go silent, the fleet learns of a change after the spacing, the time-out of a read and the
 * interval of the heartbeats at the latest. The pause is a third of the time in which changes must
 * take effect.
 */
const CHANGE_WAITS = { pollSpacingMs: 750, maxReadGapMs: 1000 };

/**
 * Time in which a response of the store arrives that a peer has received already, in ms, besides the
 * pause after the previous change.
 */
const DELIVERY_MARGIN_MS = 350;

/** Reads of rows that may be late, because heartbeats also carry what they say. */
const HEARTBEAT_BACKED_WAITS = { pollSpacingMs: 2500, maxReadGapMs: 5000 };

/** Views that follow the tables. */
export interface StoreViews {
  readonly configuration: ConfigurationView;
  readonly evacuations: EvacuationView;
  readonly registrations: RegistrationView;
  readonly membership: Membership;
  readonly crashCauseTable: CrashCauseTable;
}

/**
 * @param followers - followers of the process
 * @param names - names of tables and keys
 * @param views - receive the rows
 */
export function followStoreTables(
  followers: StoreFollowers,
  names: StoreNames,
  { configuration, evacuations, registrations, membership, crashCauseTable }: StoreViews,
): void {
  const applyConfiguration = (rows: readonly FeedRow[], era: number) => {
    rows
      .filter(({ key }) => key === names.configurationKey)
      .forEach(({ value, version = 0 }) => {
        if (value) configuration.applyStored(value, { era, version });
      });
    configuration.applySettled();
  };
  const configurationWaits = { ...CHANGE_WAITS, maxWaitMs: () => configuration.recheckMs };
  followers.follow(names.configurationTable, configurationWaits, {
    // Evacuations first, so that they are known when the first configuration is in force.
    replaceAll: (rows, position, isRestored) => {
      evacuations.replaceAll(evacuationsIn(rows, names), position, isRestored);
      applyConfiguration(rows, position.era);
    },
    apply: (rows, position) => {
      evacuations.apply(evacuationsIn(rows, names), position);
      applyConfiguration(rows, position.era);
    },
  });
  followers.follow(names.serverTable, CHANGE_WAITS, {
    replaceAll: (rows, position, isRestored) =>
      registrations.replaceAll(rows, position, isRestored),
    apply: (rows, position) => registrations.apply(rows, position),
    onStoreReachable: () => registrations.markStoreReachable(),
    onStoreUnreachable: () => registrations.markStoreUnreachable(),
  });
  followers.follow(names.memberTable, HEARTBEAT_BACKED_WAITS, {
    replaceAll: (rows) => membership.replaceRows(rows),
    apply: (rows) => membership.applyRows(rows),
  });
  followers.follow(names.crashCauseTable, HEARTBEAT_BACKED_WAITS, {
    replaceAll: (rows) => crashCauseTable.replaceAll(rows),
    apply: (rows) => crashCauseTable.apply(rows),
  });
}

/** The key alone evacuates a domain; the value may be unreadable. */
function evacuationsIn(
  rows: readonly FeedRow[],
  { evacuationKeyPrefix }: StoreNames,
): EvacuationRow[] {
  return rows
    .filter(({ key }) => key.startsWith(evacuationKeyPrefix))
    .map(({ key, value, version = 0 }) => ({
      domain: key.slice(evacuationKeyPrefix.length),
      version,
      isRemoved: value === undefined,
    }));
}

/**
 * @param processCount - number of processes that follow the store
 * @returns time in which the store delivers a change of the servers that a peer already knows, in ms
 */
export function serverDeliveryTimeoutMs(processCount: number): number {
  return DELIVERY_MARGIN_MS + longestReadGapMs(processCount, CHANGE_WAITS.maxReadGapMs);
}
