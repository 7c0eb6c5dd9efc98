import type { Clock } from '../time/Types.js';
import { USUAL_PREFILL_TOKENS_PER_MS, type EngineSpeeds } from './EngineSpeeds.js';
import { rankByHash } from './RendezvousHashing.js';
import type { ServerRecords } from './ServerRecords.js';
import type { BackendServer } from './ServingConfiguration.js';

/**
 * A part of a prompt, which several requests may share. Engines cache prefixes: a part is cached
 * together with all parts before it.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Stage results that are stored in one failure domain. */
export interface ResultLocation {
  readonly failureDomain: string;
  readonly bytes: number;
}

/** Properties of a request that determine the cost of running it on an engine. */
export interface PlacementRequest {
  readonly promptParts: readonly PromptPart[];
  readonly results: readonly ResultLocation[];
  /**
   * Returns the load that other processes put on an engine, as last reported: running requests and
   * prompt tokens still to prefill.
   */
  readonly reportedLoad: (serverId: string) => { running: number; tokens: number };
}

/** Delay that each request running on an engine causes for the others, in ms. */
const RUNNING_REQUEST_COST_MS = 4;

/** Cost of transferring a megabyte of results between failure domains, in ms. */
const REMOTE_MEGABYTE_COST_MS = 12;

/**
 * Cost of prefilling a thousand tokens that another engine has cached, in ms, in addition to the
 * prefill time: the tokens evict other parts from the cache and delay the output of all requests
 * that run on the engine.
 */
const REPEATED_PREFILL_COST_MS = 40;

/**
 * Cost of the engines ranked second and lower by hash, in ms. Requests with the same shared parts
 * that overflow from the first engine thereby go to the same second engine.
 */
const SECOND_CHOICE_COST_MS = 10;
const LOWER_CHOICE_COST_MS = 20;

/** Number of engines that must have received a part for it to count as cached by all engines. */
const COMMON_PART_MIN_ENGINES = 3;

const TOKENS_PER_THOUSAND = 1000;

/** Time after which a part that was not used again counts as evicted from the cache, in ms. */
const CACHE_LIFETIME_MS = 30_000;

/** Maximum number of prompt parts tracked for one engine; the least recently used go first. */
const MAX_TRACKED_PARTS = 4000;

const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Places each request on the model engine with the lowest estimated cost.
 *
 * Handles long prompts that share parts, results of earlier stages that are stored in one failure
 * domain, and load reports that lag behind. The cost is the time to prefill the tokens that the
 * engine has not cached, plus the work queued ahead, both at the engine's own speed, plus the
 * transfer of results. Processes do not
 * exchange which parts an engine has cached. Instead, every process prefers the engine that ranks
 * first by a hash of the shared parts, so requests that share parts reach the same engine.
 */
export class EnginePlacement {
  /** Time of the last use, on the clock, by engine id and part id. */
  private readonly cachedParts = new Map<string, Map<string, number>>();

  /** Number of engines with a tracked part, by part id. */
  private readonly engineCounts = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly records: ServerRecords,
    private readonly speeds: EngineSpeeds,
  ) {}

  /**
   * Chooses the engine for a request.
   * @param engines - healthy engines
   * @param request - properties of the request
   * @returns the engine with the lowest cost; undefined if there are no engines
   */
  choose(engines: readonly BackendServer[], request: PlacementRequest): BackendServer | undefined {
    const ranked = this.rank(engines, request.promptParts);
    let best: BackendServer | undefined;
    let bestCost = Infinity;
    ranked.forEach((engine, rank) => {
      const cost = this.costOf(engine, rank, request);
      if (cost >= bestCost) return;
      best = engine;
      bestCost = cost;
    });
    return best;
  }

  /**
   * Estimates how much of a prompt the engine has to prefill. Everything from the first part that
   * is not cached counts, because engines cache prefixes.
   * @param engineId - id of the engine
   * @param parts - parts of the prompt, in order
   * @returns number of tokens to prefill
   */
  uncachedTokens(engineId: string, parts: readonly PromptPart[]): number {
    const cached = this.cachedParts.get(engineId);
    const cachedSince = this.clock.now() - CACHE_LIFETIME_MS;
    const firstUncached = parts.findIndex(
      ({ id }) => (cached?.get(id) ?? -Infinity) < cachedSince && !this.isCommon(id),
    );
    if (firstUncached < 0) return 0;
    return sumTokens(parts.slice(firstUncached));
  }

  /**
   * Records that a prompt is sent to the engine, which then caches its shared parts.
   * @param engineId - id of the engine
   * @param parts - parts of the prompt, in order
   */
  recordParts(engineId: string, parts: readonly PromptPart[]): void {
    const cached = this.cachedParts.get(engineId) ?? new Map<string, number>();
    this.cachedParts.set(engineId, cached);
    const now = this.clock.now();
    sharedParts(parts).forEach(({ id }) => {
      if (!cached.delete(id)) this.countEngine(id, 1);
      cached.set(id, now);
    });
    while (cached.size > MAX_TRACKED_PARTS) {
      const oldest = cached.keys().next().value!;
      cached.delete(oldest);
      this.countEngine(oldest, -1);
    }
  }

  /**
   * Starts to measure the time to the first event of a request that is about to be sent.
   * @param engine - engine that the request is sent to
   * @param tokens - tokens of the request that the engine has to prefill
   * @param reportedTokens - tokens of other processes that it has yet to prefill
   * @returns called with the first event
   */
  measureFirstEvent(engine: BackendServer, tokens: number, reportedTokens: number): () => void {
    const sentAt = this.clock.now();
    const tokensAhead = this.records.pendingTokens(engine.id) + reportedTokens;
    return () =>
      this.speeds.recordFirstEvent(engine, tokensAhead + tokens, this.clock.now() - sentAt);
  }

  /** Discards the cache state of an engine that was removed or restarted. */
  forget(engineId: string): void {
    this.cachedParts.get(engineId)?.forEach((_, partId) => this.countEngine(partId, -1));
    this.cachedParts.delete(engineId);
  }

  private costOf(engine: BackendServer, rank: number, request: PlacementRequest): number {
    const { promptParts } = request;
    const uncachedTokens = this.uncachedTokens(engine.id, promptParts);
    const requestTokens = sumTokens(promptParts.slice(-1));
    // The first-ranked engine is assumed to have the shared parts cached from requests that other
    // processes sent to it.
    const repeatedTokens = rank === 0 ? 0 : Math.max(0, uncachedTokens - requestTokens);
    const reported = request.reportedLoad(engine.id);
    const runningRequests = this.records.running(engine.id) + reported.running;
    const tokensToPrefill =
      this.records.pendingTokens(engine.id) + reported.tokens + requestTokens + repeatedTokens;
    const remoteBytes = request.results
      .filter(({ failureDomain }) => failureDomain !== engine.failureDomain)
      .reduce((sum, { bytes }) => sum + bytes, 0);
    const choiceCosts = [0, SECOND_CHOICE_COST_MS];
    const workMs =
      tokensToPrefill / USUAL_PREFILL_TOKENS_PER_MS + runningRequests * RUNNING_REQUEST_COST_MS;
    return (
      workMs * this.speeds.slowness(engine.id) +
      (repeatedTokens / TOKENS_PER_THOUSAND) * REPEATED_PREFILL_COST_MS +
      (remoteBytes / BYTES_PER_MEGABYTE) * REMOTE_MEGABYTE_COST_MS +
      (choiceCosts[rank] ?? LOWER_CHOICE_COST_MS)
    );
  }

  /** Orders engines by hash of the last shared part; keeps the given order for an empty prompt. */
  private rank(engines: readonly BackendServer[], parts: readonly PromptPart[]): BackendServer[] {
    const key = sharedParts(parts).at(-1)?.id;
    if (key === undefined) return [...engines];
    const candidates = engines.map((engine) => ({ id: engine.id, weight: 1, engine }));
    return rankByHash(candidates, key).map(({ engine }) => engine);
  }

  private isCommon(partId: string): boolean {
    return (this.engineCounts.get(partId) ?? 0) >= COMMON_PART_MIN_ENGINES;
  }

  private countEngine(partId: string, change: 1 | -1): void {
    const count = (this.engineCounts.get(partId) ?? 0) + change;
    if (count > 0) this.engineCounts.set(partId, count);
    else this.engineCounts.delete(partId);
  }
}

/**
 * @returns all parts but the last, which is specific to the request or its session; the only part
 *   of a prompt counts as shared
 */
function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.length > 1 ? parts.slice(0, -1) : parts;
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
