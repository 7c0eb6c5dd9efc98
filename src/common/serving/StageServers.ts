import type { Clock } from '../time/Types.js';
import type { BackendServer, StageCapacity } from './ServingConfiguration.js';
import { StageServerState } from './StageServerState.js';
import type { CallLimits, PlannedCall } from './Types.js';

const MS_PER_SECOND = 1000;

/** Shortest duration of a call that is assumed, in ms. Peers cannot read an infinite rate. */
const MIN_CALL_MS = 1;

/** The servers of a stage service: which of them may get a call, and how much they can run. */
export class StageServers {
  private readonly states = new Map<string, StageServerState>();

  /**
   * @param clock - time source
   * @param capacity - returns the capacity of each server
   * @param limits - limits on the calls to each server
   */
  constructor(
    private readonly clock: Clock,
    private readonly capacity: () => StageCapacity,
    private readonly limits: CallLimits,
  ) {}

  /** Sets the servers that may get calls. Servers that remain keep their state. */
  update(usable: readonly BackendServer[]): void {
    const ids = new Set(usable.map(({ id }) => id));
    [...this.states.keys()].filter((id) => !ids.has(id)).forEach((id) => this.states.delete(id));
    usable.forEach((server) => {
      const existing = this.states.get(server.id);
      if (existing) existing.server = server;
      else this.states.set(server.id, new StageServerState(server));
    });
  }

  /** @returns state of a server; undefined if it may not get calls */
  get(serverId: string): StageServerState | undefined {
    return this.states.get(serverId);
  }

  /** @returns all servers */
  all(): StageServerState[] {
    return [...this.states.values()];
  }

  /** @returns servers that have neither failed recently nor pause */
  healthy(): StageServerState[] {
    return this.all().filter(
      (state) => state.isHealthy(this.clock.now()) && this.limits.pauseMs(state.server) === 0,
    );
  }

  /** Time until the first pause of a server ends, in ms; 0 if there are no servers. */
  get pauseMs(): number {
    if (this.states.size === 0) return 0;
    return Math.min(...this.all().map(({ server }) => this.limits.pauseMs(server)));
  }

  /**
   * @param servers - servers to choose from
   * @param planned - calls that are about to start
   * @returns servers that may get a call besides the planned ones
   */
  free(servers: readonly StageServerState[], planned: readonly PlannedCall[]): StageServerState[] {
    const now = this.clock.now();
    return servers.filter((state) => {
      const plannedHere = planned.filter(({ server }) => server.id === state.server.id).length;
      return (
        state.isFree(now, this.capacity().concurrentCalls) &&
        this.limits.mayRequest(state.server, plannedHere)
      );
    });
  }

  /** @returns number of servers without a limit that could run as many calls; above 0 */
  private effectiveCount(servers: readonly StageServerState[]): number {
    const callSeconds = this.callMs(this.capacity().batchSize) / MS_PER_SECOND;
    const shares = servers.map(({ server }) =>
      Math.min(1, (this.limits.requestsPerS(server.id) ?? Infinity) * callSeconds),
    );
    return Math.max(
      Number.EPSILON,
      shares.reduce((sum, share) => sum + share, 0),
    );
  }

  /** @returns configured duration of a call, in ms */
  private callMs(pieces: number): number {
    return Math.max(MIN_CALL_MS, this.capacity().callMs + pieces * this.capacity().pieceMs);
  }

  /**
   * @param healthy - servers that may get calls
   * @returns pieces that they run per ms if all calls are full
   */
  piecesPerMs(healthy: readonly StageServerState[]): number {
    const servers = healthy.length > 0 ? this.effectiveCount(healthy) : 1;
    return (servers * this.capacity().batchSize) / this.callMs(this.capacity().batchSize);
  }
}
