/** Test fixtures: clock and servers. */
import type { Clock } from '../../time/Types.js';
import type { RoutedServer } from '../Types.js';

/** Clock that only advances when the test calls `advance`. */
export type ManualClock = Clock & { advance(ms: number): void };

/** @returns clock at time 0 */
export function createClock(): ManualClock {
  let now = 0;
  return {
    now: () => now,
    wallTime: () => now,
    advance: (ms) => {
      now += ms;
    },
  };
}

/**
 * Creates servers of one pool.
 * @param count - number of servers
 * @param failureDomains - failure domains, assigned to the servers in turn
 * @returns servers `s0`, `s1` and so on of the pool `pool`
 */
export function createServers(count: number, failureDomains = ['north']): RoutedServer[] {
  return Array.from({ length: count }, (_, position) => ({
    agentId: `s${position}`,
    address: `127.0.0.1:${position}`,
    pool: 'pool',
    failureDomain: failureDomains[position % failureDomains.length]!,
    region: 'default',
  }));
}
