import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import { bufferedCall } from './BufferedCall.js';
import { isRetryable, type CallerRequest } from './CallerRequest.js';
import type { BackendConnections } from './BackendConnections.js';
import type { Failover } from './FailoverPolicy.js';
import {
  isRefusal,
  isServerError,
  isSuccess,
  type ForwardOptions,
  type ForwardOutcome,
} from './ForwardOutcome.js';
import type { ServingProtocol } from './Types.js';

/** Dependencies of the forwarders. */
export interface ForwardServices {
  readonly clock: Clock;
  readonly connections: BackendConnections;
  readonly protocol: ServingProtocol;
}

/**
 * Forwards a request and buffers the response, so that a truncated one never reaches the caller.
 * @param services - connections and protocol
 * @param request - caller's request
 * @param server - backend server
 * @param options - headers to send
 * @param timeoutMs - time to the deadline of the request, in ms
 * @param failover - when the request moves to another server; undefined for one that must not
 * @returns how forwarding ended
 */
export async function forwardBuffered(
  services: ForwardServices,
  request: CallerRequest,
  server: BackendServer,
  options: ForwardOptions,
  timeoutMs: number,
  failover?: Failover,
): Promise<ForwardOutcome> {
  const { connections, protocol } = services;
  // An unsafe call is not aborted when its caller leaves: its effects can't be undone.
  const cancellation = request.route.kind === 'unsafe' ? undefined : request.cancellation;
  const response = await bufferedCall(
    connections.to(server),
    {
      method: request.method,
      path: request.target,
      headers: options.headers,
      ...(request.body.length > 0 && { body: request.body }),
      needsNewConnection: !isRetryable(request),
    },
    {
      timeoutMs,
      isTied: ({ headers }) =>
        protocol.parseResponse(headers).attemptId === request.attributes.attemptId,
      ...(failover && { failover }),
      ...(cancellation && { cancellation }),
      ...(options.onHead && { onHead: options.onHead }),
    },
  );
  if (response.kind === 'failed') {
    const { kind, message, isConnectionLost } = response.failure;
    if (cancellation?.isCancelled) return { kind: 'cancelled' };
    return { kind, cause: message, isConnectionLost };
  }
  const { status, headers, body } = response;
  const attributes = protocol.parseResponse(headers);
  const { attemptId } = request.attributes;
  if (isRefusal(attributes, attemptId)) return { kind: 'not-executed', status };
  const matchesAttempt = attributes.attemptId === attemptId;
  if (
    !matchesAttempt ||
    attributes.hasContentCoding ||
    (isSuccess(status) && !attributes.isSigned)
  ) {
    return {
      kind: 'broken',
      cause: `answer of another request or not whole (status ${status})`,
      isConnectionLost: false,
    };
  }
  if (isServerError(status)) return { kind: 'server-error', status, headers, body };
  if (options.claim?.(status) === false) return { kind: 'cancelled' };
  request.response.sendComplete(status, headers, body);
  return { kind: 'answered', status };
}
