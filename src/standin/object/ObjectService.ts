import type { Call } from '../http/Call.js';
import type { ServiceResponse, Counter, Route, Service } from '../Types.js';

const OBJECT_PREFIX = '/objects/';

/** Stand-in for the platform's object store. */
export class ObjectService implements Service {
  readonly controlRoutes = {};

  private readonly objects = new Map<string, string>();

  private readonly counts = { puts: 0, gets: 0, deletes: 0 };

  private readonly routes: Readonly<Record<string, Route>> = {
    PUT: { hasEffect: true, handle: (call) => this.put(call) },
    GET: { hasEffect: false, handle: (call) => this.get(call) },
    DELETE: { hasEffect: true, handle: (call) => this.delete(call) },
  };

  route(method: string, path: string): Route | undefined {
    return path.startsWith(OBJECT_PREFIX) ? this.routes[method] : undefined;
  }

  counters(): Record<string, Counter> {
    return { ...this.counts, objects: this.objects.size };
  }

  runs(): [] {
    return [];
  }

  dispose(): void {
    this.objects.clear();
  }

  private put(call: Call): ServiceResponse {
    this.counts.puts += 1;
    this.objects.set(keyOf(call), call.body);
    return { status: 201, body: {} };
  }

  private get(call: Call): ServiceResponse {
    this.counts.gets += 1;
    const body = this.objects.get(keyOf(call));
    return body === undefined
      ? { status: 404, body: { error: 'no such object' } }
      : { status: 200, body };
  }

  private delete(call: Call): ServiceResponse {
    this.counts.deletes += 1;
    this.objects.delete(keyOf(call));
    return { status: 200, body: {} };
  }
}

function keyOf(call: Call): string {
  return decodeURIComponent(call.path.slice(OBJECT_PREFIX.length));
}
