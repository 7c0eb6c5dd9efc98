import { request } from 'undici';
import { z } from 'zod';
import type { Instance } from '../../common/protocol/Membership.js';
import { Faults, RunRecord } from '../../standin/Faults.js';

const RunList = z.union([z.array(RunRecord), z.object({ runs: z.array(RunRecord) })]);

const FaultCounters = z.record(z.string(), z.number());

/** Client of the control interface of one stand-in service. */
export class StandinClient {
  /** @param address - `ip:port` of the service */
  constructor(readonly address: string) {}

  /**
   * Changes the given faults; the others stay unchanged.
   * @param change - faults to change
   */
  async setFaults(change: z.input<typeof Faults>): Promise<void> {
    await this.call('PUT', '/control/faults', change);
  }

  /** Resets all faults to their defaults, which inject none. */
  async clearFaults(): Promise<void> {
    await this.setFaults(Faults.parse({}));
  }

  /** @returns counters that the service reports */
  async counters(): Promise<Record<string, unknown>> {
    return (await this.call('GET', '/control/counters')) as Record<string, unknown>;
  }

  /** @returns number of injected faults, summed over all kinds */
  async faultCount(): Promise<number> {
    const counts = FaultCounters.parse((await this.counters()).faults ?? {});
    return Object.values(counts).reduce((total, count) => total + count, 0);
  }

  /** @returns all runs since the start of the service */
  async runs(): Promise<RunRecord[]> {
    const body = RunList.parse(await this.call('GET', '/control/runs'));
    return Array.isArray(body) ? body : body.runs;
  }

  /**
   * Replaces the membership list.
   * @param instances - new content
   */
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
      throw new Error(`${method} ${path} returned status ${response.statusCode}: ${text}`);
    }
    return text === '' ? null : JSON.parse(text);
  }
}
