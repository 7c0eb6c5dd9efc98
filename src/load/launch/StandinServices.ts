/** Settings of stand-in services. */
import type { z } from 'zod';
import type { Instance } from '../../common/protocol/Membership.js';
import type { ServiceSettings } from '../../standin/StandinSettings.js';
import { MODEL } from '../deployment/Templates.js';
import type { BackendServer } from './Types.js';

/** One service as a settings file names it. */
export type StandinService = z.input<typeof ServiceSettings>;

/** Spread of service times of stage servers and plain services. */
const SERVICE_TIME_SPREAD = 0.25;

const MS_PER_SECOND = 1000;

/**
 * @param addresses - `ip:port` of table service, object store and membership list
 * @param instances - content of the membership list at the start
 * @returns services of the platform
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
 * @param server - backend server to stand in for
 * @returns its service
 */
export function backendService(server: BackendServer): StandinService {
  const { kind, slots, serviceMs, tokenMs } = server.pool;
  const base = { name: server.id, address: server.address, slots };
  if (kind === 'engine') {
    const tokensPerSecond = MS_PER_SECOND / (tokenMs ?? 1);
    return { ...base, kind, tokensPerSecond, models: [MODEL] };
  }
  return { ...base, kind, serviceTime: { meanMs: serviceMs, spread: SERVICE_TIME_SPREAD } };
}
