/** Types of a cluster and its parts. */
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

/** Deployment and settings of a cluster. */
export interface ClusterOptions {
  readonly deployment: Deployment;
  readonly variant: Variant;
  /** Whether to put a relay in front of every agent (every backend server for `naive`). */
  readonly relays?: boolean;
  /** Name of the file for the spans of entries and agents; without it, nothing is sampled. */
  readonly traceFile?: string;
  /** Settings of all entries that differ from the launcher's. */
  readonly entry?: Partial<z.input<typeof EntrySettings>>;
  /** Settings of all agents that differ from the launcher's. */
  readonly agent?: AgentOverrides;
  /** Further settings of the agent of a given backend server. */
  readonly agentSettingsOf?: (server: BackendServer) => AgentOverrides;
  /** Whether to keep the temporary folder after disposal. */
  readonly keepFolder?: boolean;
}

/** A backend server of the cluster. */
export interface BackendServer {
  /** Pool name and number, such as `engines-1`. */
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
