import type { z } from 'zod';
import { request } from 'undici';
import type { Faults } from '../Faults.js';
import { StandinHost, type RunningService } from '../StandinHost.js';
import { StandinSettings, type ServiceKind } from '../StandinSettings.js';

/** Settings of one service. By default the operating system chooses the port. */
export type StandinServiceOptions = Partial<z.input<typeof StandinSettings>['services'][number]> & {
  readonly kind: ServiceKind;
};

/** Status and JSON body of a response. */
export interface JsonResponse {
  readonly status: number;
  // Untyped, because the tests assert on the fields.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  readonly body: any;
}

/** Test fixture that runs stand-in services in the process of the test. */
export class StandinFixture {
  private readonly host = new StandinHost();

  private services: RunningService[] = [];

  /**
   * Starts services on 127.0.0.1.
   * @param options - kind and settings of each service; the name defaults to the kind
   */
  async start(...options: StandinServiceOptions[]): Promise<void> {
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
   * Returns the base URL of a service.
   * @param name - name of the service
   * @returns base URL
   * @throws Error if no service of this name was started
   */
  url(name: string): string {
    const service = this.services.find((candidate) => candidate.name === name);
    if (!service) throw new Error(`no stand-in named "${name}"`);
    return `http://${service.address}`;
  }

  /**
   * Sends a call.
   * @param method - HTTP method
   * @param url - absolute URL
   * @param body - JSON body
   * @param headers - additional headers
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

  /** Changes faults of a service; others keep their values. */
  async setFaults(name: string, faults: Partial<Faults>): Promise<void> {
    await this.call('PUT', `${this.url(name)}/control/faults`, faults);
  }

  /** @returns counters of a service */
  async counters(name: string): Promise<JsonResponse['body']> {
    const response = await this.call('GET', `${this.url(name)}/control/counters`);
    return response.body;
  }

  /** Stops all services. */
  close(): Promise<void> {
    return this.host.close();
  }
}
