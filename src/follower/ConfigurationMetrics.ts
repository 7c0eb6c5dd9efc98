/** Metrics of the configuration in force, shared by entries and agents. */
import type { Meter } from '@opentelemetry/api';
import type { ConfigurationSource } from './Types.js';

/**
 * Registers gauges for the revision in force and for the age of its confirmation by the store. The
 * age is not reported while the store has not confirmed the revision.
 * @param meter - meter of the process
 * @param source - configuration of the process
 */
export function observeConfiguration(meter: Meter, source: ConfigurationSource): void {
  meter
    .createObservableGauge('configuration_revision', { description: 'Revision in force' })
    .addCallback((result) => result.observe(source.notice().revision));
  meter
    .createObservableGauge('configuration_confirmed_age_ms', {
      description: 'Time since the store confirmed the revision as the newest',
      unit: 'ms',
    })
    .addCallback((result) => {
      const { confirmedAgeMs } = source.notice();
      if (confirmedAgeMs !== null) result.observe(confirmedAgeMs);
    });
}
