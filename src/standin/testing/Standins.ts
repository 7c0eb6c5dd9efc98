import type { z } from 'zod';
import { request } from 'undici';
import type { Faults } from '../Faults.js';
import { StandinHost, type RunningService } from '../StandinHost.js';
import { StandinSettings, type ServiceKind } from '../StandinSettings.js';

/** Settings of one service; the address is chosen by the system. */
export type StandinOptions = Partial<z.input<typeof StandinSettings>['services'][number]> & {
  readonly kind: ServiceKind;
};

/** Status and JSON body of a response. */
export interface JsonResponse {
  readonly status: number;
  // The tests check the shape.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  readonly body: any;
}

/** Stand-in services in the process of a test. */
export class Standins {
  private readonly host = new StandinHost();

  private services: RunningService[] = [];

  /**
   * Starts one service per entry on 127.0.0.1.
   * @param options - kind and options of each service; the name defaults to the kind
   */
  async start(...options: StandinOptions[]): Promise<void> {
    const settings = StandinSettings.parse({
      services: options.map((service) => ({
        name: service.kind,
        address: '127.0.0.1:0',
        ...service,
      })),
    });
    this.services.push(...(await this.host.start(settings.services)));
  }

  /**
   * @param name - name of a service
   * @returns its base URL
   */
  url(name: string): string {
    const service = this.services.find((candidate) => candidate.name === name);
    if (!service) throw new Error(`no stand-in ${name}`);
    return `http://${service.address}`;
  }

  /**
   * Sends a call.
   * @param method - HTTP method
   * @param url - whole URL
   * @param body - JSON body
   * @param headers - further headers
   * @returns status and JSON body
   */
  async call(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    url: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<JsonResponse> {
    const response = await request(url, { method, headers, body: JSON.stringify(body) ?? null });
    return { status: response.statusCode, body: await response.body.json() };
  }

  /** Sets some faults of a service. */
  async setFaults(name: string, faults: Partial<Faults>): Promise<void> {
    await this.call('PUT', `${this.url(name)}/control/faults`, faults);
  }

  /** @returns counters of a service. */
  async counters(name: string): Promise<JsonResponse['body']> {
    const response = await this.call('GET', `${this.url(name)}/control/counters`);
    return response.body;
  }

  /** Stops all services. */
  close(): Promise<void> {
    return this.host.close();
  }
}
