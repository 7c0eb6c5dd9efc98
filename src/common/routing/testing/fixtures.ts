/** Clock and servers for tests of routing. */
import type { Clock } from '../../time/Types.js';
import type { RoutedServer } from '../Types.js';

/** Clock that the test advances. */
export type ManualClock = Clock & { advance(ms: number): void };

/** @returns a clock at time 0. */
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
 * @param count - number of servers
 * @param failureDomains - domains, taken in turn
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
