/** Seeded series of faults that overlap and repeat. */
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { FaultKind, ScheduledFault } from './Types.js';

/** Kinds with their relative frequency; each disturbs another part of the deployment. */
const FREQUENCIES: Record<FaultKind, number> = {
  freeze: 3,
  kill: 3,
  terminate: 3,
  reload: 2,
  storeLinkCut: 2,
  storeLinkSilent: 2,
  storeLinkSlow: 1,
  storeRefuses: 1,
  storeSilent: 1,
  storeLosesAnswers: 1,
  storeHistoryLost: 2,
  storeClockJumps: 1,
  serverLinkCut: 3,
  serverLinkSilent: 2,
  serverLinkOneWay: 3,
  serverLinkSlow: 2,
  serverMisbehaves: 6,
  serverDrains: 3,
  serversSwapAddresses: 2,
  keysChange: 3,
  rowMalformed: 1,
};

/** Faults start this far apart on average, so that two to four overlap. */
const MEAN_GAP_MS = 400;
const SHORTEST_MS = 100;
const LONGEST_MS = 2500;

/** Share of faults that strike the same part several times in a row. */
const SERIES_SHARE = 0.2;
const SERIES_LENGTH = 3;
const SERIES_GAP_MS = 250;

/**
 * @param random - source that decides everything
 * @param seconds - length of the series
 * @returns faults in the order of their start
 */
export function createFaultSeries(random: SeededRandom, seconds: number): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  const endsAt = seconds * 1000;
  for (let at = 0; at < endsAt; at += -Math.log(1 - random.next()) * MEAN_GAP_MS) {
    const kind = pickKind(random.next());
    const forMs = SHORTEST_MS + random.next() ** 2 * (LONGEST_MS - SHORTEST_MS);
    const choice = random.next();
    const repeats = random.next() < SERIES_SHARE ? SERIES_LENGTH : 1;
    for (let repeat = 0; repeat < repeats; repeat += 1) {
      faults.push({ kind, atMs: at + repeat * (forMs + SERIES_GAP_MS), forMs, choice });
    }
  }
  return faults.filter(({ atMs }) => atMs < endsAt).sort((left, right) => left.atMs - right.atMs);
}

function pickKind(choice: number): FaultKind {
  const entries = Object.entries(FREQUENCIES) as [FaultKind, number][];
  let rest = choice * entries.reduce((sum, [, frequency]) => sum + frequency, 0);
  for (const [kind, frequency] of entries) {
    rest -= frequency;
    if (rest < 0) return kind;
  }
  return entries[0]![0];
}
