import { gzipSync } from 'node:zlib';
import { sha256 } from '../../common/Digest.js';
import { InstanceList } from '../../common/protocol/Membership.js';
import type { FaultState } from '../FaultState.js';
import type { Call } from '../http/Call.js';
import { LaggedValue } from '../LaggedValue.js';
import type { Answer, Counter, Route, Service } from '../Types.js';

/** Options of {@link MembershipService}. */
export interface MembershipOptions {
  /** Instances listed at the start. */
  readonly instances: InstanceList['instances'];
}

interface EncodedList {
  /** Entity tag. */
  readonly etag: string;
  readonly compressed: Buffer;
}

/** Stand-in of the platform's membership list. Changes are shown after the fault `lagMs`. */
export class MembershipService implements Service {
  readonly controlRoutes: Readonly<Record<string, Route>> = {
    'PUT /control/instances': { hasEffect: false, handle: (call) => this.replace(call) },
  };

  private readonly instances: LaggedValue<InstanceList['instances']>;

  private readonly counts = { lists: 0, unchanged: 0, changes: 0 };

  /** Encoded forms of the lists that were given out. */
  private readonly encoded = new WeakMap<InstanceList['instances'], EncodedList>();

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

  private list(call: Call): Answer {
    const instances = this.instances.get(this.state.faults.lagMs);
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
    const known = this.encoded.get(instances);
    if (known) return known;
    const text = JSON.stringify({ instances });
    // Done once for each list, not once for each call.
    // eslint-disable-next-line n/no-sync
    const list = { etag: `"${sha256(text)}"`, compressed: gzipSync(text) };
    this.encoded.set(instances, list);
    return list;
  }

  private replace(call: Call): Answer {
    const { instances } = call.parse(InstanceList);
    this.instances.set(instances);
    this.counts.changes += 1;
    return { status: 200, body: { instances } };
  }
}
