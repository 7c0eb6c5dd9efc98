/** Looks up the decisions about a request. */
import type { Explanation } from '../../../common/protocol/Control.js';
import { createTimeoutSignal, listInstances } from '../../../follower/ConfigurationClients.js';
import { mapConcurrently } from '../../../follower/Concurrency.js';
import { refuse, type OperatorHandler } from '../Types.js';

/**
 * Handles `GET /v1/operator/requests/{id}`. Looks in this entry first, then queries the entry named
 * in the request id, or all other entries if the membership list does not contain that one.
 */
export const queryExplanation: OperatorHandler = async (services, call) => {
  const requestId = call.name;
  const local = await services.control.explanation(requestId);
  if (local) return { ok: true, body: local };
  const instances = await listInstances(services.membership);
  const entries = instances.filter(({ role, id }) => role === 'entry' && id !== services.entryId);
  const namedEntries = entries.filter(({ id }) => requestId.startsWith(id));
  const queriedEntries = namedEntries.length > 0 ? namedEntries : entries;
  const replies = await mapConcurrently(
    queriedEntries,
    async ({ address }): Promise<Explanation | null> => {
      try {
        return await services
          .entryAt(address)
          .explanation.get.query({ requestId }, { signal: createTimeoutSignal() });
      } catch {
        return null;
      }
    },
  );
  const explanation = replies.find((candidate) => candidate !== null);
  if (explanation) return { ok: true, body: explanation };
  const message = `no entry that answers knows request "${requestId}"; entries keep the last 10,000`;
  return refuse({ kind: 'not-found', message });
};
