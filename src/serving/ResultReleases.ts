import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { ServerStatements } from '../common/serving/ServerStatements.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Logger } from '../telemetry/Logger.js';
import type { BackendConnections } from './BackendConnections.js';
import { bufferedCall } from './BufferedCall.js';
import { MAX_RELEASE_RESPONSE_BYTES } from './StageCallBounds.js';
import type { ServingProtocol } from './Types.js';

/** Time for which released handles are collected, in ms, so that one call releases many results. */
const RELEASE_DELAY_MS = 12;

/** Interval of the calls that release results at a server that takes none now, in ms. */
const LIMITED_RELEASE_DELAY_MS = 1000;

/** Maximum number of handles that wait to be released at one server; servers drop the others. */
const MAX_PENDING_RELEASES = 10_000;

/** Time-out of a call that releases results, in ms. */
const RELEASE_TIMEOUT_MS = 1000;

/** Dependencies of {@link ResultReleases}. */
export interface ResultReleasesServices {
  readonly logger: Logger;
  readonly directory: ServerDirectory;
  readonly connections: BackendConnections;
  readonly protocol: ServingProtocol;
  readonly statements: ServerStatements;
}

/** Releases stage results at the servers that store them. */
export class ResultReleases {
  private readonly pending = new Map<string, string[]>();

  /**
   * @param services - connections and what is known of the servers
   * @param onReleased - called when a server has freed the memory of results
   */
  constructor(
    private readonly services: ResultReleasesServices,
    private readonly onReleased: (server: BackendServer, handles: readonly string[]) => void,
  ) {}

  /** Adds results that are no longer needed. */
  add(handles: readonly string[]): void {
    handles.forEach((handle) => {
      const address = this.services.protocol.addressOfResult(handle);
      const pending = this.pending.get(address);
      if (pending) {
        pending.push(handle);
        return;
      }
      this.pending.set(address, [handle]);
      setTimeout(() => this.send(address), RELEASE_DELAY_MS);
    });
  }

  private send(address: string): void {
    const handles = this.pending.get(address) ?? [];
    this.pending.delete(address);
    const { directory, protocol, connections, logger, statements } = this.services;
    const server = directory.findByAddress(address);
    // A server that leaves receives no more calls, and its results are dropped when it exits. Those
    // in an evacuated domain are dropped after their retention time.
    if (!server || server.isDraining || !statements.isServing(server)) return;
    if (directory.isEvacuated(server)) return;
    if (!statements.mayRequest(server)) {
      const kept = handles.slice(-MAX_PENDING_RELEASES);
      const dropped = handles.length - kept.length;
      const cause = 'limit or pause';
      if (dropped > 0) logger.warn('results not released', { server: server.id, cause, dropped });
      this.pending.set(address, kept);
      setTimeout(() => this.send(address), LIMITED_RELEASE_DELAY_MS);
      return;
    }
    const request = protocol.createReleaseCall(server.id, handles);
    bufferedCall(
      connections.to(server),
      { ...request, needsNewConnection: false },
      { timeoutMs: RELEASE_TIMEOUT_MS, maxBodyBytes: MAX_RELEASE_RESPONSE_BYTES },
    ).then(
      (response) => {
        if (response.kind === 'answered') this.onReleased(server, handles);
        else logger.warn('results not released', { server: server.id, cause: response.failure });
      },
      (error: unknown) => logger.error('result release failed', { error }),
    );
  }
}
