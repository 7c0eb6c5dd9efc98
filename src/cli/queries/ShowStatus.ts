/** Commands that show the state of entries and agents, and the decisions about a request. */
import type { Explanation } from '../../common/protocol/Control.js';
import type { RevisionNotice } from '../../common/protocol/Attempt.js';
import type { ProcessStatus, StatusReply } from '../../common/protocol/Operator.js';
import { formatTable, type Cell } from '../Table.js';
import type { CliContext, CliResult } from '../Types.js';

/**
 * Shows the state of all entries and agents.
 * @param context - connection and output
 * @returns the revision, then one line for each entry and agent
 */
export async function showStatus(context: CliContext): Promise<CliResult<string[]>> {
  const result = await context.connection.call('GET', 'status');
  if (!result.ok) return result;
  if (context.json) return { ok: true, value: [JSON.stringify(result.value)] };
  // Not checked against a schema: the command line and the entry are of the same version.
  const reply = result.value as StatusReply;
  const header = ['ROLE', 'ID', 'ADDRESS', 'DOMAIN', 'STATE', 'REVISION', 'DETAIL'];
  const lines = formatTable(header, reply.processes.map(statusCells));
  return { ok: true, value: [`revision ${reply.revision}`, ...lines] };
}

function statusCells(process: ProcessStatus): Cell[] {
  const { role, id, address, failureDomain, state } = process;
  const common = [role, id, address, failureDomain, state];
  if ('problem' in process) return [...common, '-', `no answer: ${process.problem}`];
  const { notice } = process.status;
  if (process.role === 'entry') {
    const { requestsRunning, ready } = process.status;
    const detail = `${ready ? 'ready' : 'not ready'}, ${requestsRunning} requests`;
    return [...common, describeNotice(notice), detail];
  }
  const { pool, serverId, load } = process.status;
  const drain = load.draining ? ', draining' : '';
  const detail = `${serverId} in ${pool}: ${load.running}/${load.slots} running, ${load.waiting} waiting${drain}`;
  return [...common, describeNotice(notice), detail];
}

function describeNotice({ revision, confirmedAgeMs }: RevisionNotice): string {
  return confirmedAgeMs === null
    ? `${revision}, unconfirmed`
    : `${revision}, ${Math.round(confirmedAgeMs)} ms`;
}

/**
 * Shows how a request was routed and why.
 * @param context - connection and output
 * @param requestId - id of the request
 * @returns decisions about the request with their reasons
 */
export async function explainRequest(
  context: CliContext,
  requestId: string,
): Promise<CliResult<string[]>> {
  const path = `requests/${encodeURIComponent(requestId)}`;
  const result = await context.connection.call('GET', path);
  if (!result.ok) return result;
  if (context.json) return { ok: true, value: [JSON.stringify(result.value)] };
  const { account, template, decisions } = result.value as Explanation;
  const rows = decisions.map(({ atMs, stage, action, reason }): Cell[] => [
    Math.round(atMs),
    stage ?? '-',
    action,
    reason,
  ]);
  const title = `request ${requestId}, account ${account}, template ${template}`;
  return {
    ok: true,
    value: [title, ...formatTable(['AT MS', 'STAGE', 'ACTION', 'REASON'], rows)],
  };
}
