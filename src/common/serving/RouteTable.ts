import type {
  ClientAccount,
  Route,
  ServiceDefinition,
  ServingConfiguration,
} from './ServingConfiguration.js';

/** Lower bound of the time for which streams are remembered, in ms. */
export const MIN_STREAM_LIFETIME_MS = 10_000;

/** Consecutive attempts of a caller, each of which may take the time-out of its route. */
const ATTEMPTS = 2;

/** Looks up routes, services and client accounts in one version of the configuration. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();

  private readonly accountsByKey = new Map<string, ClientAccount>();

  private readonly servicesByName = new Map<string, ServiceDefinition>();

  /** Names of the services that run stages of requests, in alphabetical order. */
  readonly stageServices: readonly string[];

  /** Longest time from the start of a resumable stream until its caller resumes it, in ms. */
  readonly streamLifetimeMs: number;

  constructor(readonly configuration: ServingConfiguration) {
    configuration.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      const known = this.routesByHost.get(host);
      if (known) known.push(route);
      else this.routesByHost.set(host, [route]);
    });
    // Longest prefix first: the first match is then the longest one.
    this.routesByHost.forEach((routes) => {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    });
    configuration.accounts?.forEach((account) => {
      account.apiKeys.forEach((key) => this.accountsByKey.set(key, account));
    });
    configuration.services.forEach((service) => this.servicesByName.set(service.name, service));
    this.stageServices = configuration.services
      .filter(({ stage }) => stage !== undefined)
      .map(({ name }) => name)
      .sort();
    const timeouts = configuration.routes
      .filter(({ isResumable }) => isResumable)
      .map(({ timeoutMs }) => timeoutMs);
    this.streamLifetimeMs = Math.max(MIN_STREAM_LIFETIME_MS, ATTEMPTS * Math.max(0, ...timeouts));
  }

  get version(): number {
    return this.configuration.version;
  }

  /** Whether requests on routes that are not public need an API key. */
  get requiresKey(): boolean {
    return this.configuration.accounts !== undefined;
  }

  /**
   * Finds the route of a request. If the `Host` header has a port, routes whose host includes this
   * port are searched; if there are none, the port is ignored.
   * @param host - value of the `Host` header
   * @param target - request target, including the query
   * @returns the route with the longest matching prefix; undefined if none matches
   */
  route(host: string, target: string): Route | undefined {
    const path = target.split('?', 1)[0] ?? target;
    const name = host.toLowerCase();
    const routes = this.routesByHost.get(name) ?? this.routesByHost.get(withoutPort(name));
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** @returns the client account that the API key belongs to; undefined if there is none */
  account(apiKey: string | undefined): ClientAccount | undefined {
    return apiKey === undefined ? undefined : this.accountsByKey.get(apiKey);
  }

  service(name: string): ServiceDefinition | undefined {
    return this.servicesByName.get(name);
  }
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, '');
}
