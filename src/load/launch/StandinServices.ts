/** Creates the settings of stand-in services. */
import type { z } from 'zod';
import type { Instance } from '../../common/protocol/Membership.js';
import type { ServiceSettings } from '../../standin/StandinSettings.js';
import { MODEL } from '../deployment/Templates.js';
import type { BackendServer } from './Types.js';

/** Settings of one stand-in service. */
export type StandinService = z.input<typeof ServiceSettings>;

/** Spread of service times: standard deviation of their logarithm. */
const SERVICE_TIME_SPREAD = 0.25;

const MS_PER_SECOND = 1000;

/**
 * Creates the settings of the platform services.
 * @param addresses - `ip:port` of table service, object store and membership service
 * @param instances - initial content of the membership list
 * @returns settings of the three services
 */
export function platformServices(
  addresses: { table: string; objects: string; membership: string },
  instances: readonly Instance[] = [],
): StandinService[] {
  return [
    { kind: 'table', name: 'table', address: addresses.table },
    { kind: 'object', name: 'objects', address: addresses.objects },
    {
      kind: 'membership',
      name: 'membership',
      address: addresses.membership,
      instances: [...instances],
    },
  ];
}

/**
 * Creates the settings of the stand-in for a backend server.
 * @param server - backend server
 * @returns settings of its service
 */
export function backendService(server: BackendServer): StandinService {
  const { kind, slots, serviceMs, tokenIntervalMs } = server.pool;
  const base = { name: server.id, address: server.address, slots };
  if (kind === 'engine') {
    const tokensPerSecond = MS_PER_SECOND / (tokenIntervalMs ?? 1);
    return { ...base, kind, tokensPerSecond, models: [MODEL] };
  }
  return { ...base, kind, serviceTime: { meanMs: serviceMs, spread: SERVICE_TIME_SPREAD } };
}
