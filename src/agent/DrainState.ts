import type { ConfigurationSnapshot } from '../common/protocol/Configuration.js';

/**
 * Whether the server drains. The operator's drain comes directly and through the configuration, in any
 * order; the newer command decides. A shutdown drains for good.
 */
export class DrainState {
  private configured = false;

  private draining = false;

  private shuttingDown = false;

  /** @param serverId - backend server */
  constructor(private readonly serverId: string) {}

  /** True if new attempts are refused. */
  get isDraining(): boolean {
    return this.draining || this.shuttingDown;
  }

  /** @param draining - what the operator sent to this agent */
  command(draining: boolean): void {
    this.draining = draining;
  }

  /**
   * Takes the flag of the configuration if it changed. An unrelated change published before the
   * operator's drain reached the configuration must not end that drain.
   * @param snapshot - configuration in force
   */
  configure(snapshot: ConfigurationSnapshot): void {
    const configured = snapshot.servers.get(this.serverId)?.draining ?? false;
    if (configured !== this.configured) this.draining = configured;
    this.configured = configured;
  }

  /** Drains until the process ends. */
  shutDown(): void {
    this.shuttingDown = true;
  }
}
