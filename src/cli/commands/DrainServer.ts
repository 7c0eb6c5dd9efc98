/** Commands that drain and resume a backend server. */
import { randomUUID } from 'node:crypto';
import { DrainReply } from '../../common/protocol/Operator.js';
import type { CliContext, CliResult } from '../Types.js';

/**
 * Drains or resumes a backend server: at its agent, and in the configuration.
 * @param context - connection and output
 * @param serverId - id of the backend server
 * @param operation - `drain` or `resume`
 * @returns one line each for the agent and the configuration, with the reason if that part failed
 */
export async function drainServer(
  context: CliContext,
  serverId: string,
  operation: 'drain' | 'resume',
): Promise<CliResult<string[]>> {
  const path = `servers/${encodeURIComponent(serverId)}/${operation}`;
  const result = await context.connection.call('POST', path, { changeId: randomUUID() });
  if (!result.ok) return result;
  if (context.json) return { ok: true, value: [JSON.stringify(result.value)] };
  const reply = DrainReply.parse(result.value);
  const state = reply.draining ? 'draining' : 'taking work';
  const lines = [
    reply.agent === null
      ? `agent of ${serverId}: ${state}, ${reply.running ?? 0} running`
      : `agent of ${serverId} not told: ${reply.agent}`,
    reply.recorded === null
      ? `configuration: ${serverId} ${state}`
      : `configuration not changed: ${reply.recorded}`,
  ];
  return { ok: true, value: lines };
}
