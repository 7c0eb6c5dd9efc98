import { InstanceList, type Instance } from '../common/protocol/Membership.js';
import { HttpCaller, STATUS_NOT_MODIFIED } from './HttpCaller.js';
import { parseBody } from './ResponseBody.js';
import type { CallOptions, MembershipList, PlatformResult } from './Types.js';

/**
 * Client of the platform's membership list over HTTP. It sends the entity tag of the list it holds, so
 * that an unchanged list costs no body, and accepts a compressed body: with 1,100 instances the plain
 * body is about 150 KB.
 */
export class HttpMembershipList implements MembershipList {
  private readonly caller: HttpCaller;

  private held: { readonly etag: string; readonly instances: Instance[] } | null = null;

  /** @param baseUrl - URL of the membership service */
  constructor(baseUrl: string) {
    this.caller = new HttpCaller(baseUrl);
  }

  async list(options: CallOptions): Promise<PlatformResult<Instance[]>> {
    const { held } = this;
    const answer = await this.caller.call(
      {
        method: 'GET',
        path: '/v1/instances',
        isWrite: false,
        acceptsGzip: true,
        ...(held && { ifNoneMatch: held.etag }),
      },
      options,
    );
    if (!answer.ok) return answer;
    const { status, text, etag } = answer.value;
    // The same array again tells the reader that nothing changed.
    if (status === STATUS_NOT_MODIFIED && held) return { ok: true, value: held.instances };
    const body = parseBody(InstanceList, text, 'unavailable');
    if (!body.ok) return body;
    const { instances } = body.value;
    this.held = etag === undefined ? null : { etag, instances };
    return { ok: true, value: instances };
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.caller.close();
  }
}
