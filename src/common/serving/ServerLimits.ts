import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';

/** A limit that a server named, or its end. */
export interface ServerLimitChange {
  readonly server: string;
  /** Requests per second from all processes together; undefined if the server takes any number. */
  readonly requestsPerS: number | undefined;
}

interface ServerLimit {
  /** Undefined if the server takes any number. */
  readonly requestsPerS: number | undefined;
  /** Time of the last response that showed this, on the clock, in ms. */
  readonly at: number;
}

/**
 * Time without a response that names a limit before one without it ends the limit, in ms. Responses
 * arrive in another order than they were created.
 */
const LIMIT_HOLD_MS = 1000;

/** Limits on the requests to each server, as the servers name them in their responses. */
export class ServerLimits {
  private readonly limits = new Map<string, ServerLimit>();

  private readonly changedEmitter = new Emitter<ServerLimitChange>();

  /** Fired when a server names a limit, changes it or takes any number of requests again. */
  readonly onChanged = this.changedEmitter.event;

  /** @param clock - time source */
  constructor(private readonly clock: Clock) {}

  /**
   * Records a response.
   * @param server - id of the server
   * @param requestsPerS - limit that the response names; undefined if it names none
   */
  recordResponse(server: string, requestsPerS: number | undefined): void {
    const now = this.clock.now();
    const known = this.limits.get(server);
    if (requestsPerS === undefined) {
      if (known?.requestsPerS === undefined || now - known.at < LIMIT_HOLD_MS) return;
    }
    this.limits.set(server, { requestsPerS, at: now });
    if (known?.requestsPerS !== requestsPerS) this.changedEmitter.fire({ server, requestsPerS });
  }

  /** Discards the limit of a server that was removed or restarted. */
  forget(server: string): void {
    this.limits.delete(server);
  }
}
