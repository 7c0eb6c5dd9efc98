/** Types that the commands and queries of the operator API share. */
import type { TRPCClient } from '@trpc/client';
import type { AgentRouter } from '../../agent/AgentRouter.js';
import type { EntryControl } from '../../common/protocol/Control.js';
import type { OperatorError } from '../../common/protocol/Operator.js';
import type { Clock } from '../../common/time/Types.js';
import type { ConfigurationSource, ConfigurationWriter } from '../../follower/Types.js';
import type { MembershipList, TableStore } from '../../storage/Types.js';
import type { Logger } from '../../telemetry/Logger.js';
import type { EntryRouter } from '../EntryRouter.js';

/** Services that commands and queries use. */
export interface OperatorServices {
  readonly entryId: string;
  readonly source: ConfigurationSource;
  readonly writer: ConfigurationWriter;
  readonly store: TableStore;
  readonly membership: MembershipList;
  /** Control interface of this entry, called without a network connection. */
  readonly control: Pick<EntryControl, 'explanation' | 'status'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** @returns tRPC client of the agent at `ip:port`. */
  readonly agentAt: (address: string) => TRPCClient<AgentRouter>;
  /** @returns tRPC client of the entry at `ip:port`. */
  readonly entryAt: (address: string) => TRPCClient<EntryRouter>;
}

/** An authenticated call. */
export interface OperatorCall {
  /** Name of the operator. */
  readonly operator: string;
  /** Decoded path parameter; empty if the path has none. */
  readonly name: string;
  readonly query: URLSearchParams;
  /** Parsed JSON body; null if the body is empty. */
  readonly body: unknown;
}

/** Outcome of a call: the response body or an error. */
export type OperatorOutcome =
  | { readonly ok: true; readonly body: unknown }
  | { readonly ok: false; readonly error: OperatorError };

/** Handles the calls of one route. */
export type OperatorHandler = (
  services: OperatorServices,
  call: OperatorCall,
) => Promise<OperatorOutcome>;

/**
 * @param error - error to return to the operator
 * @returns failed outcome with the error
 */
export function refuse(error: OperatorError): OperatorOutcome {
  return { ok: false, error };
}
