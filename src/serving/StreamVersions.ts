import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { StreamOrigin, StreamOrigins } from '../common/serving/StreamOrigins.js';
import { isResumable, type CallerRequest } from './CallerRequest.js';
import { isAllowed, type PinnedVersion } from './ForwardProgress.js';
import type { Refusal } from './RequestLog.js';
import type { ServingMetrics } from './ServingMetrics.js';
import type { StreamOriginTable } from './StreamOriginTable.js';

/** Retry-After if the version of a stream is unknown or has no server, in ms. */
const RETRY_MS = 500;

/** Where a request runs. */
export interface Continuation {
  readonly service: string;
  /** Version at which the stream goes on; undefined for any. */
  readonly pinned?: PinnedVersion;
  /** Why the stream cannot go on; undefined if it can. */
  readonly refusal?: Refusal;
}

/** Dependencies of {@link StreamVersions}. */
export interface StreamVersionsServices {
  readonly directory: Pick<ServerDirectory, 'usable'>;
  readonly origins: StreamOrigins;
  readonly table: Pick<StreamOriginTable, 'load'>;
  readonly metrics: Pick<ServingMetrics, 'recordRefusal'>;
}

/** Whether the caller takes up a stream whose first events it has received. */
export function isTakeUp(request: Pick<CallerRequest, 'route' | 'attributes'>): boolean {
  return isResumable(request) && request.attributes.lastEventId !== undefined;
}

/**
 * Lets a stream that a caller takes up go on only at the software version that began it: servers do not
 * check this, and what two versions write does not fit together. The version comes from the record of
 * the stream alone: which versions have servers now, or had them, does not show where it began.
 */
export class StreamVersions {
  constructor(private readonly services: StreamVersionsServices) {}

  /** Records that the first event of a request came from a server. */
  recordFirstEvent(request: CallerRequest, { service, version }: BackendServer): void {
    const { attemptId } = request.attributes;
    // A stream that was taken up has its record already.
    if (!isResumable(request) || isTakeUp(request)) return;
    if (version === undefined || attemptId === undefined) return;
    this.services.origins.begin(attemptId, { service, version });
  }

  /**
   * @param request - request that takes up a stream
   * @param target - service to which the request would go otherwise
   * @returns where the stream goes on, or why it cannot
   */
  async continuationOf(request: CallerRequest, target: string): Promise<Continuation> {
    const origin = await this.originOf(request.attributes.resumedAttemptId);
    if (!origin) return this.refusal(target, 'unknown-version', 'version of the stream is unknown');
    const { service, version } = origin;
    const isTarget = request.route.targets.some((each) => each.service === service);
    const pinned = { version };
    const { directory } = this.services;
    if (!isTarget || !directory.usable(service).some((server) => isAllowed(server, pinned))) {
      return this.refusal(target, 'departed-version', 'no server of the version of the stream');
    }
    return { service, pinned };
  }

  private async originOf(attemptId: string | undefined): Promise<StreamOrigin | undefined> {
    if (attemptId === undefined) return undefined;
    const { origins, table } = this.services;
    const known = origins.find(attemptId);
    if (known) return known;
    await table.load();
    return origins.find(attemptId);
  }

  private refusal(
    service: string,
    kind: 'unknown-version' | 'departed-version',
    reason: string,
  ): Continuation {
    this.services.metrics.recordRefusal(kind);
    return { service, refusal: { reason, retryAfterMs: RETRY_MS } };
  }
}
