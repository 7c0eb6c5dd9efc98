import { HeldBytes, type HolderKind } from '../common/requests/HeldBytes.js';
import { processLimitsOf, type ProcessLimits } from '../common/requests/ProcessLimits.js';
import type { ClientLimits } from '../common/requests/Types.js';
import { ResponseMemory } from '../common/response/ResponseMemory.js';
import type { ConnectionLimits } from './BackendConnections.js';
import { BodyReader } from './BodyReader.js';
import { CallerConnections } from './CallerConnections.js';
import { ClientRefusals } from './ClientRefusals.js';
import type { ServingProcessOptions } from './ServingProcessOptions.js';
import type { ServingSettings } from './ServingSettings.js';

/** What bounds the requests of clients, whatever they send. */
export interface ClientHandling {
  readonly limits: ClientLimits & ProcessLimits;
  readonly heldBytes: HeldBytes;
  readonly refusals: ClientRefusals;
  readonly connections: CallerConnections;
  readonly bodies: BodyReader;
}

const HOLDER_KINDS: readonly HolderKind[] = ['reading', 'running', 'response'];

/** @returns limits and accounts of all clients of a process, with their metrics */
export function createClientHandling(
  options: Pick<ServingProcessOptions, 'clock' | 'logger' | 'metrics' | 'random' | 'settings'>,
): ClientHandling {
  const { clock, logger, metrics, random, settings } = options;
  const limits = {
    ...settings.clientLimits,
    ...processLimitsOf(settings.instance, settings.clientLimits),
  };
  const { minBytesPerS, framingBytes } = limits;
  const heldBytes = new HeldBytes(clock, { totalBytes: limits.heldBytes, minBytesPerS });
  const refusals = new ClientRefusals(clock, logger, metrics);
  const maxConnections = limits.connections;
  const connections = new CallerConnections({ clock, refusals, maxConnections });
  const { pacedReading } = connections;
  const bodies = new BodyReader({
    clock,
    heldBytes,
    refusals,
    pacedReading,
    framingBytes,
    bytesPerS: limits.heldBytes,
    random,
  });
  metrics.meter
    .createObservableGauge('held_bytes', { description: 'Bytes held for clients, by holder' })
    .addCallback((result) =>
      HOLDER_KINDS.forEach((holder) => result.observe(heldBytes.bytesOf(holder), { holder })),
    );
  metrics.meter
    .createObservableGauge('caller_connections', { description: 'Open connections of callers' })
    .addCallback((result) => result.observe(connections.size));
  metrics.meter
    .createObservableGauge('paced_connections', {
      description: 'Connections with small chunks that wait to be read',
    })
    .addCallback((result) => result.observe(pacedReading.waitingCount));
  return { limits, heldBytes, refusals, connections, bodies };
}

/**
 * @returns limits of the connections to servers that follow from the instance: their number, and the
 *   memory of all buffered responses, at most that of the setting
 */
export function serverConnectionLimits({
  instance,
  clientLimits,
  responseLimits,
}: ServingSettings): Pick<ConnectionLimits, 'memory' | 'totalConnections'> {
  const { responseBytes, serverConnections } = processLimitsOf(instance, clientLimits);
  return {
    memory: new ResponseMemory(Math.min(responseLimits.totalBytes, responseBytes)),
    totalConnections: serverConnections,
  };
}
