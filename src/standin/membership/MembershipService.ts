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

/** Stand-in of the platform's membership list. Changes are shown after the fault `lagMs`. */
export class MembershipService implements Service {
  readonly controlRoutes: Readonly<Record<string, Route>> = {
    'PUT /control/instances': { hasEffect: false, handle: (call) => this.replace(call) },
  };

  private readonly instances: LaggedValue<InstanceList['instances']>;

  private readonly counts = { lists: 0, changes: 0 };

  private readonly listRoute: Route = {
    hasEffect: false,
    handle: () => {
      this.counts.lists += 1;
      return { status: 200, body: { instances: this.instances.get(this.state.faults.lagMs) } };
    },
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

  private replace(call: Call): Answer {
    const { instances } = call.parse(InstanceList);
    this.instances.set(instances);
    this.counts.changes += 1;
    return { status: 200, body: { instances } };
  }
}
