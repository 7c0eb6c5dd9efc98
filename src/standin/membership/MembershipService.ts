import { gzipSync } from 'node:zlib';
import { sha256 } from '../../common/Digest.js';
import { InstanceList } from '../../common/protocol/Membership.js';
import type { FaultState } from '../FaultState.js';
import type { Call } from '../http/Call.js';
import { LaggedValue } from '../LaggedValue.js';
import type { ServiceResponse, Counter, Route, Service } from '../Types.js';

/** Options of {@link MembershipService}. */
export interface MembershipOptions {
  /** Initial instances. */
  readonly instances: InstanceList['instances'];
}

interface EncodedList {
  /** Entity tag. */
  readonly etag: string;
  readonly compressed: Buffer;
}

/** Stand-in for the platform's membership list. The fault `lagMs` delays changes. */
export class MembershipService implements Service {
  readonly controlRoutes: Readonly<Record<string, Route>> = {
    'PUT /control/instances': { hasEffect: false, handle: (call) => this.replace(call) },
  };

  private readonly instances: LaggedValue<InstanceList['instances']>;

  private readonly counts = { lists: 0, unchanged: 0, changes: 0 };

  /** Encoded responses of the lists that were requested. */
  private readonly encodedLists = new WeakMap<InstanceList['instances'], EncodedList>();

  private readonly listRoute: Route = {
    hasEffect: false,
    handle: (call) => this.list(call),
  };

  constructor(
    options: MembershipOptions,
    private readonly state: FaultState,
  ) {
    this.instances = new LaggedValue(options.instances);
  }

  route(method: string, path: string): Route | undefined {
    return method === 'GET' && path === '/v1/instances' ? this.listRoute : undefined;
  }

  counters(): Record<string, Counter> {
    return { ...this.counts };
  }

  runs(): [] {
    return [];
  }

  dispose(): void {}

  private list(call: Call): ServiceResponse {
    const instances = this.instances.valueWithLag(this.state.faults.lagMs);
    const { etag, compressed } = this.encode(instances);
    this.counts.lists += 1;
    if (call.ifNoneMatch === etag) {
      this.counts.unchanged += 1;
      return { status: 304, body: '', headers: { etag } };
    }
    if (!call.acceptsGzip) return { status: 200, body: { instances }, headers: { etag } };
    return { status: 200, body: compressed, headers: { etag, 'content-encoding': 'gzip' } };
  }

  private encode(instances: InstanceList['instances']): EncodedList {
    const cached = this.encodedLists.get(instances);
    if (cached) return cached;
    const text = JSON.stringify({ instances });
    // Runs once per list, not once per call.
    // eslint-disable-next-line n/no-sync
    const list = { etag: `"${sha256(text)}"`, compressed: gzipSync(text) };
    this.encodedLists.set(instances, list);
    return list;
  }

  private replace(call: Call): ServiceResponse {
    const { instances } = call.parseBody(InstanceList);
    this.instances.set(instances);
    this.counts.changes += 1;
    return { status: 200, body: { instances } };
  }
}
