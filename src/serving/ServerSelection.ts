import type { EnginePlacement } from '../common/serving/EnginePlacement.js';
import type { RouteTable } from '../common/serving/RouteTable.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import { choosePlainServer, type ServerRecords } from '../common/serving/ServerRecords.js';
import type { ServerStatements } from '../common/serving/ServerStatements.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { CallerRequest } from './CallerRequest.js';
import { isAllowed, type PinnedVersion } from './ForwardProgress.js';
import type { ServingProtocol } from './Types.js';
import type { PeerView } from './peers/PeerView.js';

/** Dependencies of {@link ServerSelection}. */
export interface ServerSelectionServices {
  readonly protocol: ServingProtocol;
  readonly failureDomain: string;
  readonly directory: ServerDirectory;
  readonly records: ServerRecords;
  readonly statements: ServerStatements;
  readonly placement: EnginePlacement;
  readonly peerView: PeerView;
  readonly routeTable: () => RouteTable | undefined;
  readonly random: () => number;
}

/** Stage results that a request reads. */
export interface StoredResult {
  readonly handle: string;
  readonly bytes: number;
}

/** Which servers a request has tried, and at which version its stream goes on. */
export interface SelectionProgress {
  /** Servers that are chosen only if there is no other one. */
  readonly triedServerIds: ReadonlySet<string>;
  /** Undefined if the request may run at any version. */
  readonly pinned?: PinnedVersion | undefined;
}

/** Progress of a request that has not been sent. */
export const NOT_TRIED: SelectionProgress = { triedServerIds: new Set() };

/** Chooses the backend servers of callers' requests. */
export class ServerSelection {
  constructor(private readonly services: ServerSelectionServices) {}

  /**
   * @param request - caller's request
   * @param service - service that runs it
   * @param progress - servers that were tried, and the version at which its stream goes on
   * @param results - stage results that the request reads
   * @returns the server to send the request to now; undefined if there is none
   */
  choose(
    request: CallerRequest,
    service: string,
    { triedServerIds, pinned }: SelectionProgress,
    results: readonly StoredResult[],
  ): BackendServer | undefined {
    const { directory, records, statements, placement, protocol, peerView } = this.services;
    const { failureDomain, random } = this.services;
    const usable = directory
      .usable(service)
      .filter((server) => statements.mayRequest(server) && isAllowed(server, pinned));
    const untried = usable.filter(({ id }) => !triedServerIds.has(id));
    const candidates = this.preferWarm(records.healthy(untried.length > 0 ? untried : usable));
    const isEngine = this.services.routeTable()?.service(service)?.engine !== undefined;
    if (!isEngine) return choosePlainServer(candidates, records, failureDomain, random);
    return placement.choose(candidates, {
      promptParts: request.attributes.promptParts,
      results: results.flatMap(({ handle, bytes }) => {
        const resultServer = directory.findByAddress(protocol.addressOfResult(handle));
        return resultServer ? [{ failureDomain: resultServer.failureDomain, bytes }] : [];
      }),
      reportedLoad: (id) => peerView.engineLoad(id),
    });
  }

  /** The work of a cold server takes longer: it gets requests while no other has a free slot. */
  private preferWarm(servers: readonly BackendServer[]): readonly BackendServer[] {
    const { statements, records, peerView } = this.services;
    const warm = servers.filter((server) => !statements.isCold(server));
    if (warm.length === servers.length) return servers;
    const free = warm.filter(
      ({ id, slots }) => records.running(id) + peerView.engineLoad(id).running < slots,
    );
    return free.length > 0 ? free : servers;
  }

  /**
   * @param service - service of backend servers
   * @param progress - servers that do not count, and the version that the other one must have
   * @returns whether another server without too many recent failures may get a request now
   */
  hasOther(service: string, { triedServerIds, pinned }: SelectionProgress): boolean {
    const { directory, records, statements } = this.services;
    const usable = directory
      .usable(service)
      .filter((server) => statements.mayRequest(server) && isAllowed(server, pinned));
    return records.healthy(usable).some(({ id }) => !triedServerIds.has(id));
  }

  /** @returns whether the service has no usable server because of evacuated failure domains */
  isEvacuated(service: string): boolean {
    return this.services.directory.isServiceEvacuated(service);
  }

  /**
   * @param service - service of backend servers
   * @returns time until one of its servers may get a request within its limit and after its pause,
   *   in ms; undefined if the service has no server
   */
  waitMs(service: string): number | undefined {
    const { directory, statements } = this.services;
    const waits = directory.usable(service).map((server) => statements.waitMs(server));
    return waits.length > 0 ? Math.min(...waits) : undefined;
  }
}
