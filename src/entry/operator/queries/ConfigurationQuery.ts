/** Lists the configuration in force. */
import type { ConfigurationReply } from '../../../common/protocol/Operator.js';
import type { OperatorHandler } from '../Types.js';

/**
 * Handles `GET /v1/operator/configuration`. Reads the store first, so that an operator who lists
 * and then publishes rarely gets a conflict with a change that was committed before.
 */
export const queryConfiguration: OperatorHandler = async ({ source }) => {
  await source.refresh();
  const snapshot = source.snapshot();
  const body: ConfigurationReply = {
    ...source.notice(),
    templates: [...snapshot.templates.values()],
    accounts: [...snapshot.accounts.values()],
    servers: [...snapshot.servers.values()],
  };
  return { ok: true, body };
};
