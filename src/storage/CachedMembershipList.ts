import type { Instance } from '../common/protocol/Membership.js';
import type { CallOptions, MembershipList, PlatformResult } from './Types.js';

/** Membership list that returns the last list read while the platform does not answer. */
export class CachedMembershipList implements MembershipList {
  private lastInstances: Instance[] | null = null;

  /** @param source - membership list of the platform */
  constructor(private readonly source: MembershipList) {}

  async list(options: CallOptions): Promise<PlatformResult<Instance[]>> {
    const result = await this.source.list(options);
    if (result.ok) {
      this.lastInstances = result.value;
      return result;
    }
    return this.lastInstances === null ? result : { ok: true, value: this.lastInstances };
  }
}
