import type { Clock } from '../time/Types.js';
import { rankByHash } from './Rendezvous.js';
import type { ServerRecords } from './ServerChoice.js';
import type { BackendServer } from './ServingConfiguration.js';

/** A part of a prompt. Requests share parts; a part is kept by an engine together with those before. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Bytes of results that lie in one failure domain. */
export interface ResultLocation {
  readonly failureDomain: string;
  readonly bytes: number;
}

/** What a request needs of an engine. */
export interface EngineDemand {
  readonly promptParts: readonly PromptPart[];
  readonly results: readonly ResultLocation[];
  /** Load of each engine as other processes told it last: running requests and unread tokens. */
  readonly reportedLoad: (serverId: string) => { running: number; tokens: number };
}

/** Prompt tokens that an engine reads in a millisecond, about. */
const PREFILL_TOKENS_PER_MS = 110;

/** Time by which one more running request delays the others, in ms. */
const RUNNING_COST_MS = 4;

/** Cost of moving a megabyte of results between failure domains, as time. */
const REMOTE_MEGABYTE_COST_MS = 12;

/**
 * Cost of reading a thousand tokens again that another engine keeps, as time, beside the reading
 * itself: it displaces other parts and delays the tokens of all requests that run there.
 */
const REPEATED_READ_COST_MS = 40;

/** Cost of the second and of later choices by hash, so that overflow of one key meets again. */
const SECOND_CHOICE_COST_MS = 10;
const LATER_CHOICE_COST_MS = 20;

/** A part that this many engines were sent is taken to be kept by all. */
const COMMON_PART_ENGINES = 3;

const TOKENS_PER_THOUSAND = 1000;

/** Parts that were read longer ago may have been evicted from the cache. */
const CACHED_FOR_MS = 30_000;

/** Sequences of prompt parts remembered for an engine. */
const MAX_REMEMBERED_PARTS = 4000;

const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Places requests on model engines.
 *
 * Answers this load pattern: long prompts that share parts, results of earlier stages that lie in
 * one failure domain, and engines whose reports lag. Cost is the time to read what the engine does
 * not keep, plus the work before it, plus the transfer of results. Processes do not tell each other
 * which parts an engine keeps; instead, each sends requests without other preference to the engine
 * that ranks first by hash of the shared parts, so that they meet there.
 */
export class EnginePlacement {
  /** Last use by engine and part. */
  private readonly kept = new Map<string, Map<string, number>>();

  constructor(
    private readonly clock: Clock,
    private readonly records: ServerRecords,
  ) {}

  /**
   * @param engines - healthy engines
   * @param demand - what the request needs
   * @returns the cheapest engine
   */
  choose(engines: readonly BackendServer[], demand: EngineDemand): BackendServer | undefined {
    const ranked = this.rank(engines, demand.promptParts);
    let best: BackendServer | undefined;
    let bestCost = Infinity;
    ranked.forEach((engine, rank) => {
      const cost = this.costOf(engine, rank, demand);
      if (cost >= bestCost) return;
      best = engine;
      bestCost = cost;
    });
    return best;
  }

  /** @returns prompt tokens that the engine has to read, as far as known */
  missingTokens(engineId: string, parts: readonly PromptPart[]): number {
    const known = this.kept.get(engineId);
    const freshFrom = this.clock.now() - CACHED_FOR_MS;
    const firstMissing = parts.findIndex(
      ({ id }) => (known?.get(id) ?? -Infinity) < freshFrom && !this.isCommon(id),
    );
    if (firstMissing < 0) return 0;
    return sumTokens(parts.slice(firstMissing));
  }

  /** Notes that the engine reads these parts. */
  noteParts(engineId: string, parts: readonly PromptPart[]): void {
    const known = this.kept.get(engineId) ?? new Map<string, number>();
    this.kept.set(engineId, known);
    const now = this.clock.now();
    sharedParts(parts).forEach(({ id }) => {
      known.delete(id);
      known.set(id, now);
    });
    while (known.size > MAX_REMEMBERED_PARTS) known.delete(known.keys().next().value!);
  }

  forget(engineId: string): void {
    this.kept.delete(engineId);
  }

  private costOf(engine: BackendServer, rank: number, demand: EngineDemand): number {
    const { promptParts } = demand;
    const missing = this.missingTokens(engine.id, promptParts);
    const ownTokens = sumTokens(promptParts.slice(-1));
    // The first choice is taken to keep what requests through other processes brought there.
    const repeated = rank === 0 ? 0 : Math.max(0, missing - ownTokens);
    const reported = demand.reportedLoad(engine.id);
    const running = this.records.running(engine.id) + reported.running;
    const tokens = this.records.pendingTokens(engine.id) + reported.tokens + ownTokens + repeated;
    const remoteBytes = demand.results
      .filter(({ failureDomain }) => failureDomain !== engine.failureDomain)
      .reduce((sum, { bytes }) => sum + bytes, 0);
    const choiceCosts = [0, SECOND_CHOICE_COST_MS];
    return (
      tokens / PREFILL_TOKENS_PER_MS +
      running * RUNNING_COST_MS +
      (repeated / TOKENS_PER_THOUSAND) * REPEATED_READ_COST_MS +
      (remoteBytes / BYTES_PER_MEGABYTE) * REMOTE_MEGABYTE_COST_MS +
      (choiceCosts[rank] ?? LATER_CHOICE_COST_MS)
    );
  }

  /** Orders engines by hash of the last shared part; without one, their order is arbitrary. */
  private rank(engines: readonly BackendServer[], parts: readonly PromptPart[]): BackendServer[] {
    const key = sharedParts(parts).at(-1)?.id;
    if (key === undefined) return [...engines];
    const candidates = engines.map((engine) => ({ id: engine.id, weight: 1, engine }));
    return rankByHash(candidates, key).map(({ engine }) => engine);
  }

  private isCommon(partId: string): boolean {
    let engines = 0;
    this.kept.forEach((known) => {
      if (known.has(partId)) engines += 1;
    });
    return engines >= COMMON_PART_ENGINES;
  }
}

/** All parts but the last, which belongs to the request itself or its session. */
function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.length > 1 ? parts.slice(0, -1) : parts;
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
