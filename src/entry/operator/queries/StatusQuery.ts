/** Collects the status of all entries and agents. */
import type { Instance } from '../../../common/protocol/Membership.js';
import type { ProcessStatus, StatusReply } from '../../../common/protocol/Operator.js';
import { createTimeoutSignal, listInstances } from '../../../follower/ConfigurationClients.js';
import { mapConcurrently } from '../../../follower/Concurrency.js';
import type { OperatorHandler, OperatorServices } from '../Types.js';

/** Handles `GET /v1/operator/status`. Processes that do not answer are listed with the problem. */
export const queryStatus: OperatorHandler = async (services) => {
  const instances = await listInstances(services.membership);
  const processes = await mapConcurrently(instances, (instance) =>
    queryProcess(services, instance),
  );
  const body: StatusReply = { revision: services.source.notice().revision, processes };
  return { ok: true, body };
};

async function queryProcess(
  services: OperatorServices,
  instance: Instance,
): Promise<ProcessStatus> {
  const { id, address, failureDomain, state, role } = instance;
  const common = { id, address, failureDomain, state };
  const options = { signal: createTimeoutSignal() };
  try {
    if (role === 'agent') {
      const status = await services.agentAt(address).server.status.query(undefined, options);
      return { ...common, role, status };
    }
    const status =
      id === services.entryId
        ? await services.control.status()
        : await services.entryAt(address).status.get.query(undefined, options);
    return { ...common, role, status };
  } catch (error) {
    const problem = error instanceof Error ? error.message : String(error);
    return { ...common, role, problem };
  }
}
