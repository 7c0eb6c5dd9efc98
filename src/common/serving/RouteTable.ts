import type {
  ClientAccount,
  Route,
  ServiceDefinition,
  ServingConfiguration,
} from './ServingConfiguration.js';

/** Finds routes, services and client accounts of one configuration version. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();

  private readonly accountsByKey = new Map<string, ClientAccount>();

  private readonly servicesByName = new Map<string, ServiceDefinition>();

  constructor(readonly configuration: ServingConfiguration) {
    configuration.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      this.routesByHost.set(host, [...(this.routesByHost.get(host) ?? []), route]);
    });
    // The longest prefix decides, so it is tried first.
    this.routesByHost.forEach((routes) => {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    });
    configuration.accounts?.forEach((account) => {
      account.apiKeys.forEach((key) => this.accountsByKey.set(key, account));
    });
    configuration.services.forEach((service) => this.servicesByName.set(service.name, service));
  }

  get version(): number {
    return this.configuration.version;
  }

  /** True if requests on routes that are not public need a key. */
  get requiresKey(): boolean {
    return this.configuration.accounts !== undefined;
  }

  /**
   * @param host - value of the `Host` header
   * @param target - request target with its query
   * @returns the route with the longest matching prefix
   */
  route(host: string, target: string): Route | undefined {
    const path = target.split('?', 1)[0] ?? target;
    const name = host.toLowerCase();
    const routes = this.routesByHost.get(name) ?? this.routesByHost.get(withoutPort(name));
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** @returns the client account that holds the key */
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
