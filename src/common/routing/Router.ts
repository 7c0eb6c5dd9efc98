import type { Load } from '../protocol/Attempt.js';
import type { RandomSource } from '../time/Types.js';
import { selectCandidates, type Location } from './CandidateSet.js';
import type { RoutedServer } from './Types.js';

/** What the router needs of its surroundings. */
export interface RouterOptions {
  readonly random: RandomSource;
  readonly location: Location;
  /** Candidates per choice. */
  readonly candidates: number;
  /** @returns live servers of a pool. */
  readonly serversOf: (pool: string) => readonly RoutedServer[];
}

/** What a server is wanted for. */
export interface RouteRequest {
  readonly pool: string;
  /** Selects the candidate set; equal keys have equal candidates on all entries. */
  readonly key: string;
  /** True if the first candidate must be taken, so that a repeated request joins its attempt. */
  readonly sticky: boolean;
  /** Agents that were tried before. */
  readonly exclude: ReadonlySet<string>;
}

/** What was run, as far as it matters for expected times. */
export interface RoutedWork {
  readonly template: string;
  readonly stage: string;
}

/** Times of a result, in milliseconds. */
export interface RoutedResult {
  readonly queueMs: number;
  readonly serviceMs: number;
}

/** Chooses backend servers. */
export class Router {
  private readonly loads = new Map<string, Load>();

  private readonly incarnations = new Map<string, string>();

  private readonly outstanding = new Map<string, number>();

  constructor(private readonly options: RouterOptions) {}

  /**
   * @param request - what the server is wanted for
   * @returns a server, or null if the pool has none left
   */
  choose(request: RouteRequest): RoutedServer | null {
    const servers = this.options
      .serversOf(request.pool)
      .filter((server) => !request.exclude.has(server.agentId))
      .filter((server) => !this.loads.get(server.agentId)?.draining);
    const candidates = selectCandidates(
      servers,
      request.key,
      this.options.location,
      this.options.candidates,
    );
    if (request.sticky || candidates.length < 2) return candidates[0] ?? null;
    return this.chooseOfTwo(candidates);
  }

  /** Notes that an attempt was sent to an agent. */
  begin(agentId: string): void {
    this.outstanding.set(agentId, (this.outstanding.get(agentId) ?? 0) + 1);
  }

  /** Notes that an attempt sent to an agent has ended. */
  end(agentId: string): void {
    const count = (this.outstanding.get(agentId) ?? 0) - 1;
    if (count > 0) this.outstanding.set(agentId, count);
    else this.outstanding.delete(agentId);
  }

  /** Takes the load that an agent reported, and the incarnation that reported it. */
  reportLoad(agentId: string, load: Load, incarnation: string): void {
    this.loads.set(agentId, load);
    this.incarnations.set(agentId, incarnation);
  }

  /** Takes a result of a server. */
  reportResult(
    _server: RoutedServer,
    _work: RoutedWork,
    _result: RoutedResult,
    _ms: number,
  ): void {}

  /** Notes that a server failed an attempt or that its agent could not be reached. */
  reportFailure(_agentId: string): void {}

  /** @returns last known incarnation of an agent, or null. */
  incarnationOf(agentId: string): string | null {
    return this.incarnations.get(agentId) ?? null;
  }

  private chooseOfTwo(candidates: readonly RoutedServer[]): RoutedServer {
    const first = Math.floor(this.options.random.next() * candidates.length);
    const offset = 1 + Math.floor(this.options.random.next() * (candidates.length - 1));
    const left = candidates[first]!;
    const right = candidates[(first + offset) % candidates.length]!;
    return this.loadOf(left.agentId) <= this.loadOf(right.agentId) ? left : right;
  }

  private loadOf(agentId: string): number {
    const load = this.loads.get(agentId);
    const own = this.outstanding.get(agentId) ?? 0;
    return own + (load ? (load.running + load.waiting) / load.slots : 0);
  }
}
