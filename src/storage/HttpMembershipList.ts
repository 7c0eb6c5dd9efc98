import { Instance, UncheckedInstanceList } from '../common/protocol/Membership.js';
import type { Logger } from '../telemetry/Logger.js';
import { HttpCaller, STATUS_NOT_MODIFIED } from './HttpCaller.js';
import { parseBody } from './ResponseBody.js';
import type { CallOptions, MembershipList, PlatformResult } from './Types.js';

/**
 * HTTP client of the platform's membership list. Sends the entity tag of the cached list, so that
 * an unchanged list is not transferred, and accepts a compressed body: with 1,100 instances the
 * plain body is about 150 KB. An entry that is invalid is ignored, and the others hold.
 */
export class HttpMembershipList implements MembershipList {
  private readonly caller: HttpCaller;

  private cached: { readonly etag: string; readonly instances: Instance[] } | null = null;

  /**
   * @param baseUrl - URL of the membership service
   * @param logger - logs invalid entries
   */
  constructor(
    baseUrl: string,
    private readonly logger: Logger,
  ) {
    this.caller = new HttpCaller(baseUrl);
  }

  async list(options: CallOptions): Promise<PlatformResult<Instance[]>> {
    const { cached } = this;
    const answer = await this.caller.call(
      {
        method: 'GET',
        path: '/v1/instances',
        isWrite: false,
        acceptsGzip: true,
        ...(cached && { ifNoneMatch: cached.etag }),
      },
      options,
    );
    if (!answer.ok) return answer;
    const { status, text, etag } = answer.value;
    // Returning the same array shows the caller that the list is unchanged.
    if (status === STATUS_NOT_MODIFIED && cached) return { ok: true, value: cached.instances };
    const body = parseBody(UncheckedInstanceList, text, 'unavailable');
    if (!body.ok) return body;
    const instances = this.validInstances(body.value.instances);
    this.cached = etag === undefined ? null : { etag, instances };
    return { ok: true, value: instances };
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.caller.close();
  }

  private validInstances(entries: readonly unknown[]): Instance[] {
    return entries.flatMap((entry, index) => {
      const instance = Instance.safeParse(entry);
      if (instance.success) return [instance.data];
      this.logger.warn('invalid instance ignored', { index, reason: instance.error.message });
      return [];
    });
  }
}
