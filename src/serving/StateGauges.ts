import type { ServerStatements } from '../common/serving/ServerStatements.js';
import type { Metrics } from '../telemetry/Metrics.js';
import type { StoreEra } from './StoreEra.js';

/**
 * Registers gauges of the state that decides which servers and configurations are used.
 * @param metrics - metrics of the process
 * @param statements - what servers say of themselves
 * @param storeEra - newest era of the store
 */
export function registerStateGauges(
  { meter }: Metrics,
  { departures, pauses }: ServerStatements,
  storeEra: StoreEra,
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
}
