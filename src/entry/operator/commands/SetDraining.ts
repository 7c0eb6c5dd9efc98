/** Drains a backend server or resumes it. */
import type { Change } from '../../../common/protocol/Configuration.js';
import type { ServerStatus } from '../../../common/protocol/Control.js';
import { DrainRequest, type DrainReply } from '../../../common/protocol/Operator.js';
import { createTimeoutSignal, listInstances } from '../../../follower/ConfigurationClients.js';
import { mapConcurrently } from '../../../follower/Concurrency.js';
import { refuse, type OperatorHandler, type OperatorServices } from '../Types.js';
import { operatorErrorOf } from './PublishChange.js';

/** Publishing tries when changes of other subjects are committed concurrently. */
const MAX_PUBLISH_TRIES = 8;

/** Requested state of a backend server. */
interface DrainCommand {
  readonly serverId: string;
  readonly draining: boolean;
  readonly changeId: string;
  readonly operator: string;
}

/** Status that the agent returned, or why it did not confirm the command. */
type AgentReply = { readonly status: ServerStatus } | { readonly problem: string };

/**
 * Handles `POST /v1/operator/servers/{id}/drain` and `/resume`. The command is sent to the agent,
 * so that it takes effect at once, and recorded in the configuration, so that it also applies after
 * a restart of the agent.
 * @param draining - true to drain, false to resume
 * @returns handler of the calls
 */
export function setDraining(draining: boolean): OperatorHandler {
  return async (services, call) => {
    const request = DrainRequest.safeParse(call.body);
    if (!request.success) return refuse({ kind: 'bad-request', message: 'expected {changeId}' });
    const { changeId } = request.data;
    const command = { serverId: call.name, draining, changeId, operator: call.operator };
    const [agentReply, recorded] = await Promise.all([
      sendToAgent(services, command),
      recordInConfiguration(services, command),
    ]);
    if ('problem' in agentReply && recorded !== null) {
      const message = `agent: ${agentReply.problem}; configuration: ${recorded}`;
      return refuse({ kind: 'unavailable', message });
    }
    const body: DrainReply = {
      serverId: command.serverId,
      draining,
      running: 'status' in agentReply ? agentReply.status.load.running : null,
      agent: 'problem' in agentReply ? agentReply.problem : null,
      recorded,
    };
    return { ok: true, body };
  };
}

async function sendToAgent(services: OperatorServices, command: DrainCommand): Promise<AgentReply> {
  const address = await findAgent(services, command.serverId);
  if (address === null) return { problem: 'no agent of this server answers' };
  const { server } = services.agentAt(address);
  const options = { signal: createTimeoutSignal() };
  try {
    const procedure = command.draining ? server.drain : server.resume;
    return { status: await procedure.mutate(undefined, options) };
  } catch (error) {
    return { problem: `the agent at ${address} does not answer: ${reasonOf(error)}` };
  }
}

/**
 * Finds the agent of a backend server. The membership list contains agents but not backend servers,
 * so the agents are queried. Starts with the agent whose id equals the server id.
 * @returns `ip:port` of the agent, or null if no agent of the server answers
 */
async function findAgent(services: OperatorServices, serverId: string): Promise<string | null> {
  const instances = await listInstances(services.membership);
  const agents = instances.filter((instance) => instance.role === 'agent');
  const servesServer = async (address: string): Promise<boolean> => {
    try {
      const status = await services
        .agentAt(address)
        .server.status.query(undefined, { signal: createTimeoutSignal() });
      return status.serverId === serverId;
    } catch {
      return false;
    }
  };
  const agentWithSameId = agents.find((agent) => agent.id === serverId);
  if (agentWithSameId && (await servesServer(agentWithSameId.address)))
    return agentWithSameId.address;
  const matches = await mapConcurrently(agents, (agent) => servesServer(agent.address));
  return agents.find((_agent, position) => matches[position])?.address ?? null;
}

/**
 * Records the draining flag of a server in the configuration.
 * @returns null if the flag is in the configuration, else the reason why it is not
 */
async function recordInConfiguration(
  services: OperatorServices,
  command: DrainCommand,
): Promise<string | null> {
  const { source, writer } = services;
  const { serverId, draining, changeId, operator } = command;
  let reason = 'too many concurrent changes';
  for (let tries = 0; tries < MAX_PUBLISH_TRIES; tries += 1) {
    await source.refresh();
    const snapshot = source.snapshot();
    const current = snapshot.servers.get(serverId);
    if (current?.draining === draining) return null;
    const result = await writer.publish({
      expectedRevision: snapshot.revision,
      changeId,
      author: operator,
      subject: { kind: 'server', value: { id: serverId, draining } },
    });
    if (result.ok) return null;
    const error = operatorErrorOf(result.error);
    reason = error.message;
    // A concurrent change of another subject does not conflict with the drain, so it is retried.
    const concernsOther = error.kind === 'conflict' && !concernsServer(error.winner, serverId);
    if (!concernsOther) return reason;
  }
  return reason;
}

function concernsServer(change: Change | null, serverId: string): boolean {
  return change?.subject.kind === 'server' && change.subject.value.id === serverId;
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
