import type { ConfigurationSnapshot } from '../common/protocol/Configuration.js';

/**
 * Whether the backend server drains. An operator's drain or resume arrives both as a direct call
 * and through the configuration, in either order; the newer one is in effect. A shutdown drains
 * until the process ends.
 */
export class DrainState {
  private configured = false;

  private draining = false;

  private shuttingDown = false;

  /** @param serverId - id of the backend server */
  constructor(private readonly serverId: string) {}

  /** Whether new attempts are refused. */
  get isDraining(): boolean {
    return this.draining || this.shuttingDown;
  }

  /**
   * Applies a direct call of the operator.
   * @param draining - true to drain, false to resume
   */
  applyOperatorCall(draining: boolean): void {
    this.draining = draining;
  }

  /**
   * Applies the drain flag of the configuration if the flag has changed. An unrelated change that
   * is published before the operator's drain is part of the configuration must not end that drain.
   * @param snapshot - configuration in force
   */
  applyConfiguration(snapshot: ConfigurationSnapshot): void {
    const configured = snapshot.servers.get(this.serverId)?.draining ?? false;
    if (configured !== this.configured) this.draining = configured;
    this.configured = configured;
  }

  /** Drains until the process ends. */
  beginShutdown(): void {
    this.shuttingDown = true;
  }
}
