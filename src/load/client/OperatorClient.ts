/** Client of the operator interface of an entry. */
import { randomUUID } from 'node:crypto';
import { request } from 'undici';
import type { Change, ChangeSubject } from '../../common/protocol/Configuration.js';
import { OPERATOR_TOKEN } from '../launch/Cluster.js';

const CALL_TIMEOUT_MS = 5000;

/** Answer of the operator interface; status 0 and the error text if the call failed. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Calls the operator interface. Never rejects.
 * @param address - `ip:port` of the entry
 * @param method - HTTP method
 * @param path - path below `/v1/operator/`
 * @param body - JSON body
 * @returns answer, with status 0 if the call failed
 */
export async function callOperator(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<OperatorAnswer> {
  try {
    const response = await request(`http://${address}/v1/operator/${path}`, {
      method,
      headers: {
        authorization: `Bearer ${OPERATOR_TOKEN}`,
        'content-type': 'application/json',
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    return { status: response.statusCode, body: await response.body.json() };
  } catch (error) {
    return { status: 0, body: String(error) };
  }
}

/**
 * Publishes one change.
 * @param address - `ip:port` of the entry
 * @param expectedRevision - current revision that the change is based on
 * @param subject - template or account to change
 * @param changeId - id of the change; a retry with the same id does not publish a second change
 * @returns answer and, if the change was accepted, the published change
 */
export async function publish(
  address: string,
  expectedRevision: number,
  subject: ChangeSubject,
  changeId: string = randomUUID(),
): Promise<OperatorAnswer & { readonly change?: Change }> {
  const body = { expectedRevision, changeId, subject };
  const answer = await callOperator(address, 'POST', 'changes', body);
  if (answer.status !== 200) return answer;
  return { ...answer, change: (answer.body as { change: Change }).change };
}

/**
 * Drains or resumes a backend server.
 * @param address - `ip:port` of the entry
 * @param serverId - id of the backend server
 * @param action - `drain` or `resume`
 * @returns answer
 */
export function setDraining(
  address: string,
  serverId: string,
  action: 'drain' | 'resume',
): Promise<OperatorAnswer> {
  return callOperator(address, 'POST', `servers/${serverId}/${action}`, { changeId: randomUUID() });
}
