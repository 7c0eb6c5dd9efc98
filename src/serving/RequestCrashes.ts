import murmurhash from 'murmurhash';
import type { CrashingRequest, CrashingRequests } from '../common/serving/CrashingRequests.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';

/** What this process learns about the requests under which servers end. */
export class RequestCrashes {
  /**
   * @param crashingRequests - evidence of all processes
   * @param announce - tells the peers soon
   */
  constructor(
    private readonly crashingRequests: CrashingRequests,
    private readonly announce: () => void,
  ) {}

  /** Fired when a request is found that crashes servers. */
  get onFound(): CrashingRequests['onFound'] {
    return this.crashingRequests.onFound;
  }

  /** Whether any request is refused. */
  get hasFound(): boolean {
    return this.crashingRequests.found.size > 0;
  }

  /**
   * @param fingerprint - fingerprint of a request
   * @param service - service that would run it
   * @returns why it must not be sent to any server of the service, if there is a reason
   */
  find(fingerprint: string, service: string): CrashingRequest | undefined {
    return this.crashingRequests.find(evidenceId(fingerprint, service));
  }

  /** @returns whether the request should not share a call with others */
  isSuspect(fingerprint: string, service: string): boolean {
    const { isTracking } = this.crashingRequests;
    return isTracking && this.crashingRequests.isSuspect(evidenceId(fingerprint, service));
  }

  /**
   * Records that a server ended while it ran requests.
   * @param server - server that ended
   * @param fingerprints - fingerprints of the requests
   * @param runMs - time since they were sent, in ms
   */
  recordLost(server: BackendServer, fingerprints: Iterable<string>, runMs: number): void {
    // A server may restart under the same id.
    const incarnation = `${server.id} ${server.startedAtMs ?? ''}`;
    [...fingerprints].forEach((fingerprint) => {
      const id = evidenceId(fingerprint, server.service);
      this.crashingRequests.recordCrash(incarnation, id, runMs);
    });
    this.announce();
  }

  /** Records that a server ran requests and did not end, whatever it responded. */
  recordSurvived(server: BackendServer, fingerprints: () => Iterable<string>): void {
    if (!this.crashingRequests.isTracking) return;
    [...fingerprints()].forEach((fingerprint) =>
      this.crashingRequests.recordCompletion(evidenceId(fingerprint, server.service)),
    );
  }
}

/** A request may crash the servers of one service and be sound for those of another. */
function evidenceId(fingerprint: string, service: string): string {
  return `${fingerprint}.${murmurhash.v3(service).toString(36)}`;
}
