import { InstanceList, type Instance } from '../common/protocol/Membership.js';
import { HttpCaller } from './HttpCaller.js';
import { parseBody } from './ResponseBody.js';
import type { CallOptions, MembershipList, PlatformResult } from './Types.js';

/** Client of the platform's membership list over HTTP. */
export class HttpMembershipList implements MembershipList {
  private readonly caller: HttpCaller;

  /** @param baseUrl - URL of the membership service */
  constructor(baseUrl: string) {
    this.caller = new HttpCaller(baseUrl);
  }

  async list(options: CallOptions): Promise<PlatformResult<Instance[]>> {
    const answer = await this.caller.call(
      { method: 'GET', path: '/v1/instances', isWrite: false },
      options,
    );
    if (!answer.ok) return answer;
    const body = parseBody(InstanceList, answer.value.text, 'unavailable');
    return body.ok ? { ok: true, value: body.value.instances } : body;
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.caller.close();
  }
}
