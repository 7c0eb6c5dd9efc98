/** All measurements by name. */
import { latency } from './runs/AddedLatency.js';
import { claims } from './runs/ClaimCost.js';
import { idle } from './runs/IdleCost.js';
import { ledger } from './runs/LedgerCost.js';
import { membership } from './runs/MembershipCost.js';
import { requests } from './runs/RequestCost.js';
import { start } from './runs/StartCost.js';
import { changes, state } from './runs/StateCost.js';
import { tokens } from './runs/TokenCost.js';
import type { Measurement } from './Types.js';

export const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  idle,
  state,
  requests,
  tokens,
  changes,
  claims,
  ledger,
  membership,
  start,
  latency,
};
