/** Parts of the operator interface that its commands and queries share. */
import type { TRPCClient } from '@trpc/client';
import type { AgentRouter } from '../../agent/AgentRouter.js';
import type { EntryControl } from '../../common/protocol/Control.js';
import type { OperatorError } from '../../common/protocol/Operator.js';
import type { Clock } from '../../common/time/Types.js';
import type { ConfigurationSource, ConfigurationWriter } from '../../follower/Types.js';
import type { MembershipList, TableStore } from '../../storage/Types.js';
import type { Logger } from '../../telemetry/Logger.js';
import type { EntryRouter } from '../EntryRouter.js';

/** Services of the entry that commands and queries use. */
export interface OperatorServices {
  readonly entryId: string;
  readonly source: ConfigurationSource;
  readonly writer: ConfigurationWriter;
  readonly store: TableStore;
  readonly membership: MembershipList;
  /** Answers for this entry itself. */
  readonly control: Pick<EntryControl, 'explanation' | 'status'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** @returns client of the agent at `ip:port`. */
  readonly agentAt: (address: string) => TRPCClient<AgentRouter>;
  /** @returns client of the entry at `ip:port`. */
  readonly entryAt: (address: string) => TRPCClient<EntryRouter>;
}

/** One authenticated call. */
export interface OperatorCall {
  readonly operator: string;
  /** Variable part of the path, decoded; empty if there is none. */
  readonly name: string;
  readonly query: URLSearchParams;
  /** Parsed JSON body; null if there is none. */
  readonly body: unknown;
}

/** Outcome of a call: the answer's body or an error. */
export type OperatorOutcome =
  | { readonly ok: true; readonly body: unknown }
  | { readonly ok: false; readonly error: OperatorError };

/** Carries out one kind of call. */
export type OperatorHandler = (
  services: OperatorServices,
  call: OperatorCall,
) => Promise<OperatorOutcome>;

/**
 * @param error - error of a call
 * @returns outcome with the error
 */
export function refuse(error: OperatorError): OperatorOutcome {
  return { ok: false, error };
}
