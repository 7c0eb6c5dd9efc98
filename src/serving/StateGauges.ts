import type { ConfigurationState } from '../common/serving/ConfigurationState.js';
import type { Metrics } from '../telemetry/Metrics.js';
import type { ServerObservations } from './ServerObservations.js';
import type { StoreEra } from './StoreEra.js';

const MICROSECONDS_PER_SECOND = 1_000_000;

/**
 * Registers the load of a process: its processor time, and the stage services that it batches for all.
 * @param metrics - metrics of the process
 * @param batchedServices - returns the number of stage services that the process batches
 */
export function registerLoadGauges({ meter }: Metrics, batchedServices: () => number): void {
  meter
    .createObservableCounter('processor_time', {
      unit: 's',
      description: 'Processor time that the process has used',
    })
    .addCallback((result) => {
      const { user, system } = process.cpuUsage();
      result.observe((user + system) / MICROSECONDS_PER_SECOND);
    });
  meter
    .createObservableGauge('services_batched', {
      description: 'Stage services that the process batches for all processes',
    })
    .addCallback((result) => result.observe(batchedServices()));
}

/**
 * Registers gauges of the state that decides which servers and configurations are used.
 * @param metrics - metrics of the process
 * @param observations - what servers say of themselves, and evacuated failure domains
 * @param storeEra - newest era of the store
 * @param configuration - returns which configuration is in force and which one the store holds
 */
export function registerStateGauges(
  { meter }: Metrics,
  { statements: { departures, pauses, cold }, evacuations }: ServerObservations,
  storeEra: StoreEra,
  configuration: () => ConfigurationState | undefined,
): void {
  meter
    .createObservableGauge('store_era', { description: 'Number of times the store was restored' })
    .addCallback((result) => result.observe(storeEra.current));
  meter
    .createObservableGauge('servers_leaving', { description: 'Servers that leave or have left' })
    .addCallback((result) => result.observe(departures.count));
  meter
    .createObservableGauge('servers_pausing', {
      description: 'Servers that get no requests for now',
    })
    .addCallback((result) => result.observe(pauses.count));
  meter
    .createObservableGauge('servers_cold', { description: 'Servers that are cold' })
    .addCallback((result) => result.observe(cold?.count ?? 0));
  meter
    .createObservableGauge('domains_evacuated', { description: 'Evacuated failure domains' })
    .addCallback((result) => result.observe(evacuations.count));
  meter
    .createObservableGauge('configuration_version', { description: 'Configuration in force' })
    .addCallback((result) => result.observe(configuration()?.inForce.version ?? -1));
  meter
    .createObservableGauge('configuration_era', {
      description: 'Era of the store in which the configuration in force was written',
    })
    .addCallback((result) => result.observe(configuration()?.inForce.position.era ?? -1));
  meter
    .createObservableGauge('configuration_stored_version', {
      description: 'Configuration in the store',
    })
    .addCallback((result) => result.observe(configuration()?.stored?.version ?? -1));
}
