/** Seeded series of faults that overlap and occur in bursts. */
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import { BOUNDS } from './HistoryChecks.js';
import type { FaultKind, ScheduledFault } from './Types.js';

/** Relative frequency of each kind of fault. */
const WEIGHTS: Record<FaultKind, number> = {
  freeze: 3,
  kill: 3,
  terminate: 3,
  reload: 2,
  storeLinkCut: 2,
  /** Open connections to the store drop all bytes but stay open. */
  storeLinkSilent: 2,
  storeLinkSlow: 1,
  /** The store answers each call with an error. */
  storeRefuses: 1,
  /** The store accepts calls and never responds. */
  storeSilent: 1,
  /** The store applies transactions and closes the connection without a response. */
  storeLosesAnswers: 1,
  /** The store drops its change history, so readers have to read all rows again. */
  storeHistoryLost: 2,
  storeClockJumps: 1,
  serverLinkCut: 3,
  /** Open connections to a server drop all bytes but stay open. */
  serverLinkSilent: 2,
  /** Open connections to a server drop either the requests or the answers. */
  serverLinkOneWay: 3,
  serverLinkSlow: 2,
  /** A server gives faulty responses, such as errors or truncated streams, or none. */
  serverMisbehaves: 6,
  serverDrains: 3,
  serversSwapAddresses: 2,
  /** An API key is added to the configuration or removed from it. */
  keysChange: 3,
  /** The store gets a row that cannot be parsed. */
  rowMalformed: 1,
  /** Drawn by {@link createRestoreSeries}, so that the series of earlier seeds stay as they are. */
  storeRestored: 0,
  /** Drawn by {@link createEvacuationSeries}. */
  evacuation: 0,
  /** Drawn by {@link createColdSeries}. */
  serverCold: 0,
};

/** Mean time between fault starts, in ms; on average, two to four faults are active at once. */
const MEAN_GAP_MS = 400;
const MIN_DURATION_MS = 100;
const MAX_DURATION_MS = 2500;

/** Mean time from a restore of the store to the copy for the next one, in ms. */
const RESTORE_GAP_MS = 2500;

/** Range of the duration of an evacuation, in ms, so that its bound ends within each one. */
const EVACUATION_MIN_MS = BOUNDS.evacuationMs + 1500;
const EVACUATION_MAX_MS = BOUNDS.evacuationMs + 4000;

/** Mean time from an evacuation to the next one, in ms. */
const EVACUATION_GAP_MS = 1500;

/** Mean time between the starts of cold periods, and range of their durations, in ms. */
const COLD_GAP_MS = 2000;
const COLD_MIN_MS = 1500;
const COLD_MAX_MS = 4000;

/** Probability that a fault is injected {@link BURST_LENGTH} times in a row on the same target. */
const BURST_SHARE = 0.2;
const BURST_LENGTH = 3;

/** Time from the end of a fault to the start of the next one in a burst, in ms. */
const BURST_GAP_MS = 250;

/**
 * Draws a series of faults.
 * @param random - source of all random choices
 * @param seconds - length of the series, in seconds
 * @returns faults in the order of their start times
 */
export function createFaultSeries(random: SeededRandom, seconds: number): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  const endsAt = seconds * 1000;
  for (let at = 0; at < endsAt; at += -Math.log(1 - random.next()) * MEAN_GAP_MS) {
    const kind = pickKind(random.next());
    const durationMs = MIN_DURATION_MS + random.next() ** 2 * (MAX_DURATION_MS - MIN_DURATION_MS);
    const choice = random.next();
    const burstLength = random.next() < BURST_SHARE ? BURST_LENGTH : 1;
    for (let position = 0; position < burstLength; position += 1) {
      faults.push({
        kind,
        atMs: at + position * (durationMs + BURST_GAP_MS),
        durationMs,
        choice,
      });
    }
  }
  return faults.filter(({ atMs }) => atMs < endsAt).sort((left, right) => left.atMs - right.atMs);
}

/**
 * Draws restores of the store from copies.
 * @param random - source of all random choices
 * @param seconds - length of the series, in seconds
 * @returns about one restore in four seconds, in the order of their start times
 */
export function createRestoreSeries(random: SeededRandom, seconds: number): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  const endsAt = seconds * 1000;
  for (let atMs = random.next() * RESTORE_GAP_MS; atMs < endsAt;) {
    const durationMs = MIN_DURATION_MS + random.next() * (MAX_DURATION_MS - MIN_DURATION_MS);
    faults.push({ kind: 'storeRestored', atMs, durationMs, choice: random.next() });
    atMs += durationMs + (0.5 + random.next()) * RESTORE_GAP_MS;
  }
  return faults;
}

/**
 * Draws evacuations of failure domains, one after the other.
 * @param random - source of all random choices
 * @param seconds - length of the series, in seconds; the last evacuation may end after it
 * @returns evacuations in the order of their start times
 */
export function createEvacuationSeries(random: SeededRandom, seconds: number): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  const endsAt = seconds * 1000;
  for (let atMs = random.next() * EVACUATION_GAP_MS; atMs < endsAt;) {
    const durationMs = EVACUATION_MIN_MS + random.next() * (EVACUATION_MAX_MS - EVACUATION_MIN_MS);
    faults.push({ kind: 'evacuation', atMs, durationMs, choice: random.next() });
    atMs += durationMs + (0.5 + random.next()) * EVACUATION_GAP_MS;
  }
  return faults;
}

/**
 * Draws cold periods of servers, which may overlap.
 * @param random - source of all random choices
 * @param seconds - length of the series, in seconds
 * @returns cold periods in the order of their start times
 */
export function createColdSeries(random: SeededRandom, seconds: number): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  const endsAt = seconds * 1000;
  for (let atMs = random.next() * COLD_GAP_MS; atMs < endsAt;) {
    const durationMs = COLD_MIN_MS + random.next() * (COLD_MAX_MS - COLD_MIN_MS);
    faults.push({ kind: 'serverCold', atMs, durationMs, choice: random.next() });
    atMs += (0.5 + random.next()) * COLD_GAP_MS;
  }
  return faults;
}

function pickKind(choice: number): FaultKind {
  const entries = Object.entries(WEIGHTS) as [FaultKind, number][];
  let remaining = choice * entries.reduce((sum, [, frequency]) => sum + frequency, 0);
  for (const [kind, frequency] of entries) {
    remaining -= frequency;
    if (remaining < 0) return kind;
  }
  return entries[0]![0];
}
