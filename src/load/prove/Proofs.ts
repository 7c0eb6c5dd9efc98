/** All proofs by their name on the command line. */
import { AT_MOST_ONCE } from './AtMostOnce.js';
import { TRUE_REFUSAL } from './TrueRefusal.js';
import { CONFIGURATION } from './ConfigurationForce.js';
import { DRAIN } from './Drain.js';
import { ISOLATION } from './Isolation.js';
import { NO_LOST_RESULT } from './NoLostResult.js';
import { ORDERS } from './Orders.js';
import { SHUTDOWN } from './Shutdown.js';
import type { Proof } from './Types.js';
import { WHOLE_AND_OWN } from './WholeAndOwn.js';

export const PROOFS: Readonly<Record<string, Proof>> = {
  'at-most-once': AT_MOST_ONCE,
  'true-refusal': TRUE_REFUSAL,
  'whole-and-own': WHOLE_AND_OWN,
  'no-lost-result': NO_LOST_RESULT,
  drain: DRAIN,
  shutdown: SHUTDOWN,
  configuration: CONFIGURATION,
  orders: ORDERS,
  isolation: ISOLATION,
};
