/** Descriptions of deployments: pools of backend servers, entries, accounts, templates and traffic. */
import type { Template } from '../../common/protocol/Configuration.js';

/** Kind of a backend stand-in. */
export type BackendKind = 'engine' | 'encoder' | 'retriever' | 'reranker' | 'plain';

/** A pool of identical backend servers. */
export interface Pool {
  readonly name: string;
  readonly kind: BackendKind;
  readonly servers: number;
  /** Concurrent runs of one server. */
  readonly slots: number;
  /** Mean busy time of one run (for engines, of the prompt), in milliseconds. */
  readonly serviceMs: number;
  /** Engines only: time between tokens, in milliseconds. */
  readonly tokenIntervalMs?: number;
  /** Whether the server answers `GET /v1/load`. */
  readonly reportsLoad: boolean;
}

/** A client account of a deployment with its share of the traffic. */
export interface AccountDescription {
  readonly id: string;
  readonly token: string;
  /** Share of spend; also the share of offered requests. */
  readonly share: number;
  readonly priority: number;
}

/** Share of a template in the requests of a deployment, with its deadline and inputs. */
export interface TemplateTraffic {
  readonly template: Template;
  readonly deadlineMs: number;
  /** Fraction of all requests; the fractions of a deployment sum to 1. */
  readonly part: number;
  readonly streamed: boolean;
  /** Creates the input of a request; `token` is a short text that makes the input unique. */
  readonly input: (token: string) => Record<string, unknown>;
}

/** Description of a deployment that the launcher can start. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly entries: number;
  readonly pools: readonly Pool[];
  readonly accounts: readonly AccountDescription[];
  readonly traffic: readonly TemplateTraffic[];
}
