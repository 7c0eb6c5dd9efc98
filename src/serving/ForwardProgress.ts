import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { ForwardOutcome } from './ForwardOutcome.js';

/** A failure that a backend server reported in its response. */
export type ServerError = Extract<ForwardOutcome, { kind: 'server-error' }>;

/** Software version at which a stream began, and goes on; undefined if its server named none. */
export interface PinnedVersion {
  readonly version: string | undefined;
}

/** Whether a stream may go on at the server. Servers without a version may differ from each other. */
export function isAllowed({ version }: BackendServer, pinned: PinnedVersion | undefined): boolean {
  return pinned === undefined || (version !== undefined && version === pinned.version);
}

/** Tracks the attempts to forward one request. */
export class ForwardProgress {
  /** Number of attempts, including those at servers that could not be reached. */
  sends = 0;

  /** Number of attempts in which the server may have run the request. */
  possibleRuns = 0;

  /** Number of attempts in which the request reached the server. */
  deliveries = 0;

  /** Whether two sends are in progress, one of them a hedge. */
  hasConcurrentSend = false;

  /** Ids of the servers that were chosen. */
  readonly triedServerIds = new Set<string>();

  /** The most recent server error, which the caller receives if no further attempt succeeds. */
  lastError: ServerError | undefined;

  /**
   * @param lastEventId - last event of the stream that the caller has received
   * @param pinned - version at which its stream goes on; undefined for any
   */
  constructor(
    public lastEventId: string | undefined,
    public pinned?: PinnedVersion,
  ) {}

  /** Called before each attempt. */
  recordSend(serverId: string): void {
    this.sends += 1;
    this.triedServerIds.add(serverId);
  }

  /** Called after each attempt. */
  recordOutcome(outcome: ForwardOutcome, { version }: Pick<BackendServer, 'version'>): void {
    if (outcome.kind !== 'unsent') this.deliveries += 1;
    if (outcome.kind === 'interrupted') {
      this.lastEventId = outcome.lastEventId;
      this.pinned ??= { version };
    }
    if (outcome.kind === 'server-error') this.lastError = outcome;
  }

  /** Called if the server of an attempt that ended may have run the request. */
  recordPossibleRun(): void {
    this.possibleRuns += 1;
  }
}
