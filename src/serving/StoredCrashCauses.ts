import type { Clock } from '../common/time/Types.js';
import type { StoredCauses } from './CrashCauseTable.js';
import type { ServerObservations } from './ServerObservations.js';
import { storedCrashingParts } from './StoredCrashingParts.js';
import { storedCrashingRequests } from './StoredCrashingRequests.js';

/**
 * @param observations - what the process knows about crashes
 * @param clock - time source
 * @returns the kinds of causes that the store keeps; the one without a prefix of its keys is the last
 */
export function storedCrashCauses(
  { crashingParts, crashingRequests }: ServerObservations,
  clock: Clock,
): StoredCauses[] {
  return [
    storedCrashingRequests(crashingRequests, clock),
    storedCrashingParts(crashingParts, clock),
  ];
}
