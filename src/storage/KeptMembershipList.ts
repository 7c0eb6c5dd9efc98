import type { Instance } from '../common/protocol/Membership.js';
import type { CallOptions, MembershipList, PlatformResult } from './Types.js';

/** Membership list that gives the last list read while the platform does not answer. */
export class KeptMembershipList implements MembershipList {
  private kept: Instance[] | null = null;

  /** @param source - the platform's list */
  constructor(private readonly source: MembershipList) {}

  async list(options: CallOptions): Promise<PlatformResult<Instance[]>> {
    const result = await this.source.list(options);
    if (result.ok) {
      this.kept = result.value;
      return result;
    }
    return this.kept === null ? result : { ok: true, value: this.kept };
  }
}
