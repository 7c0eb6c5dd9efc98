import { FaultState } from './FaultState.js';
import { ServiceServer } from './http/ServiceServer.js';
import { createService, seedOf } from './ServiceFactories.js';
import type { ServiceKind, ServiceSettings } from './StandinSettings.js';

/** Service that is ready for calls. */
export interface RunningService {
  readonly name: string;
  readonly kind: ServiceKind;
  /** Listen address, `ip:port`. */
  readonly address: string;
}

/** Runs stand-in services, each with its own listen address. */
export class StandinHost {
  private readonly servers: ServiceServer[] = [];

  /**
   * Starts services.
   * @param services - checked settings
   * @returns the services with their listen addresses
   * @throws the error of the operating system if an address is not available
   */
  start(services: readonly ServiceSettings[]): Promise<RunningService[]> {
    return Promise.all(services.map((settings) => this.startService(settings)));
  }

  /** Stops all services and closes their connections. */
  async close(): Promise<void> {
    await Promise.all(this.servers.map((server) => server.close()));
  }

  private async startService(settings: ServiceSettings): Promise<RunningService> {
    const state = new FaultState(settings.faults, seedOf(settings));
    const server = new ServiceServer(createService(settings, state), state);
    this.servers.push(server);
    const { host, port } = splitAddress(settings.address);
    const address = await server.listen(host, port);
    return { name: settings.name, kind: settings.kind, address };
  }
}

function splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(separator + 1)),
  };
}
