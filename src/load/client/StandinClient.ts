/** Control interface of stand-ins. */
import { request } from 'undici';
import { z } from 'zod';
import type { Instance } from '../../common/protocol/Membership.js';
import { Faults, Run } from '../../standin/Faults.js';

const RunList = z.union([z.array(Run), z.object({ runs: z.array(Run) })]);

const FaultCounts = z.record(z.string(), z.number());

/** Client of the control interface of one stand-in service. */
export class StandinClient {
  /** @param address - `ip:port` of the service */
  constructor(readonly address: string) {}

  /**
   * Changes the given faults and leaves the others as they are.
   * @param change - faults to change
   */
  async setFaults(change: z.input<typeof Faults>): Promise<void> {
    await this.call('PUT', '/control/faults', change);
  }

  /** Switches all faults off. */
  async clearFaults(): Promise<void> {
    await this.setFaults(Faults.parse({}));
  }

  /** @returns counters as the service reports them. */
  async counters(): Promise<Record<string, unknown>> {
    return (await this.call('GET', '/control/counters')) as Record<string, unknown>;
  }

  /** @returns number of calls that any fault has hit. */
  async faultCount(): Promise<number> {
    const counts = FaultCounts.parse((await this.counters()).faults ?? {});
    return Object.values(counts).reduce((total, count) => total + count, 0);
  }

  /** @returns all runs since the start of the service. */
  async runs(): Promise<Run[]> {
    const body = RunList.parse(await this.call('GET', '/control/runs'));
    return Array.isArray(body) ? body : body.runs;
  }

  /** @param instances - new content of the membership list */
  async setInstances(instances: readonly Instance[]): Promise<void> {
    await this.call('PUT', '/control/instances', { instances });
  }

  private async call(method: 'GET' | 'PUT', path: string, body?: unknown): Promise<unknown> {
    const response = await request(`http://${this.address}${path}`, {
      method,
      headers: { 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) {
      throw new Error(`${method} ${path} gave status ${response.statusCode}: ${text}`);
    }
    return text === '' ? null : JSON.parse(text);
  }
}
