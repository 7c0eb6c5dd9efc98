/** Parts of a running cluster. */
import type { z } from 'zod';
import type { AgentSettings } from '../../agent/AgentSettings.js';
import type { EntrySettings } from '../../entry/EntrySettings.js';
import type { StandinClient } from '../client/StandinClient.js';
import type { Deployment, Pool } from '../deployment/Types.js';
import type { ManagedProcess } from './ManagedProcess.js';
import type { TcpRelay } from './TcpRelay.js';

/** `current`: entries and agents; `naive`: the baseline, without agents. */
export type Variant = 'current' | 'naive';

/** Settings of an agent that differ from the launcher's. */
export type AgentOverrides = Partial<z.input<typeof AgentSettings>>;

/** What to start. */
export interface ClusterOptions {
  readonly deployment: Deployment;
  readonly variant: Variant;
  /** Puts a relay before every agent (before every backend server for `naive`). */
  readonly relays?: boolean;
  /** File that gets the spans of entries and agents. */
  readonly traceFile?: string;
  readonly entry?: Partial<z.input<typeof EntrySettings>>;
  readonly agent?: AgentOverrides;
  /** Further settings of the agent beside a server. */
  readonly agentOf?: (server: BackendServer) => AgentOverrides;
  /** Keeps the temporary folder after the end. */
  readonly keepFolder?: boolean;
}

/** A backend server of the cluster. */
export interface BackendServer {
  /** Such as `engines-1`. */
  readonly id: string;
  readonly pool: Pool;
  readonly address: string;
  readonly failureDomain: string;
  readonly control: StandinClient;
}

/** An entry of the cluster. */
export interface EntryInstance {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly process: ManagedProcess;
}

/** An agent of the cluster. */
export interface AgentInstance {
  readonly id: string;
  /** Address that the process listens on. */
  readonly address: string;
  /** Address on the membership list: the relay if there is one. */
  readonly listedAddress: string;
  readonly server: BackendServer;
  readonly process: ManagedProcess;
  readonly relay?: TcpRelay;
}
