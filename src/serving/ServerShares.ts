import { ProcessShares } from '../common/serving/ProcessShares.js';
import type { RouteTable } from '../common/serving/RouteTable.js';
import type { ServerStatementsServices } from '../common/serving/ServerStatements.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import type { ServingSettings } from './ServingSettings.js';
import type { PeerView } from './peers/PeerView.js';

/** Dependencies of {@link ServerShares}. */
export interface ServerSharesServices {
  readonly clock: Clock;
  readonly settings: ServingSettings;
  readonly isLeaving: () => boolean;
  readonly peerView: () => PeerView;
  readonly routeTable: () => RouteTable | undefined;
}

/** Shares of this process in the limits of servers; stage servers get calls from one process only. */
export class ServerShares {
  /** Processes that share the rates of cold servers. */
  readonly processes: ProcessShares;

  constructor(private readonly services: ServerSharesServices) {
    const { clock, settings, isLeaving } = services;
    this.processes = new ProcessShares(clock, settings.id, isLeaving);
  }

  /** @returns share of a limit that a server named, 0 to 1 */
  limitShareOf({ id, service }: BackendServer, requestsPerS: number): number {
    if (!this.isStage(service)) return this.services.peerView().limitShare(id, requestsPerS);
    return this.isBatching(service) ? 1 : 0;
  }

  /** Bounds and shares for cold servers; undefined if the deployment has no such bounds. */
  get coldServices(): ServerStatementsServices['cold'] {
    const { settings, routeTable } = this.services;
    const bounds = settings.servers.cold;
    return (
      bounds && {
        bounds,
        capacityOf: (service) => routeTable()?.service(service)?.cold,
        shareOf: (server, maxSharers) => this.coldShareOf(server, maxSharers),
      }
    );
  }

  private coldShareOf({ id, service }: BackendServer, maxSharers: number): number {
    if (!this.isStage(service)) return this.processes.share(id, maxSharers);
    if (!this.isBatching(service)) return 0;
    const peerView = this.services.peerView();
    return this.processes.shareOfLive(id, maxSharers, (peer) => peerView.isLive(peer));
  }

  private isStage(service: string): boolean {
    return this.services.routeTable()?.service(service)?.stage !== undefined;
  }

  private isBatching(service: string): boolean {
    return this.services.peerView().batchingProcessId(service) === this.services.settings.id;
  }
}
