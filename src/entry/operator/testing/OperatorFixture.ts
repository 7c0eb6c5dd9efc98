/** Operator API of one entry and one agent, served on 127.0.0.1 for tests. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createAgentRouter } from '../../../agent/AgentRouter.js';
import { sha256 } from '../../../common/Digest.js';
import type { AgentControl, EntryControl, ServerStatus } from '../../../common/protocol/Control.js';
import type { Instance } from '../../../common/protocol/Membership.js';
import { SeededRandom } from '../../../common/time/SeededRandom.js';
import { ConfigurationFollower } from '../../../follower/ConfigurationFollower.js';
import { ConfigurationPublisher } from '../../../follower/ConfigurationPublisher.js';
import { SystemClock } from '../../../storage/SystemClock.js';
import { FakeTableStore } from '../../../storage/testing/FakeTableStore.js';
import { createLogger } from '../../../telemetry/Logger.js';
import { createOperatorApi } from '../OperatorApi.js';

/** Operator token that the entry of the fixture accepts. */
export const OPERATOR_TOKEN = 'operator-token';

/** A running entry and agent. */
export interface OperatorFixture {
  readonly url: string;
  readonly store: FakeTableStore;
  /** Whether the agent is draining. */
  isAgentDraining(): boolean;
  stopAgent(): Promise<void>;
  stop(): Promise<void>;
}

/** @returns a running fixture, to be stopped by the caller. */
export async function createOperatorFixture(): Promise<OperatorFixture> {
  const store = new FakeTableStore();
  const clock = new SystemClock();
  const logger = createLogger('test', 'error');
  const source = new ConfigurationFollower({
    store,
    clock,
    random: new SeededRandom(1),
    pollIntervalMs: 60_000,
    peers: () => Promise.resolve([]),
    logger,
  });
  let draining = false;
  const status = (): ServerStatus => ({
    agentId: 'agent-1',
    serverId: 'engine-1',
    incarnation: 'i1',
    pool: 'engines',
    failureDomain: 'd1',
    load: { slots: 4, running: 2, waiting: 0, waitMs: 0, draining },
    notice: source.notice(),
  });
  const setDraining = (value: boolean) => async () => {
    draining = value;
    return status();
  };
  const agentControl: Partial<AgentControl> = {
    drain: setDraining(true),
    resume: setDraining(false),
    serverStatus: async () => status(),
  };
  const agent = await listen(
    createHTTPHandler({
      router: createAgentRouter(agentControl as AgentControl),
      basePath: '/trpc/',
    }),
  );
  const instances: Instance[] = [];
  const membership = { list: async () => ({ ok: true as const, value: instances }) };
  const api = createOperatorApi({
    entryId: 'entry-1',
    source,
    writer: new ConfigurationPublisher({
      store,
      clock,
      source,
      notifier: { notify: () => Promise.resolve() },
      logger,
    }),
    store,
    membership,
    control: createEntryControl(source),
    clock,
    logger,
    operators: [{ name: 'ann', tokenDigest: sha256(OPERATOR_TOKEN) }],
    internalToken: 'internal-token-of-tests',
  });
  const entry = await listen((request, response) => {
    api(request, response).catch((error: Error) => response.destroy(error));
  });
  instances.push(instanceAt('entry-1', 'entry', entry), instanceAt('agent-1', 'agent', agent));
  return {
    url: `http://${addressOf(entry)}`,
    store,
    isAgentDraining: () => draining,
    stopAgent: () => close(agent),
    stop: async () => {
      source.dispose();
      await Promise.all([close(entry), close(agent)]);
    },
  };
}

function createEntryControl(
  source: ConfigurationFollower,
): Pick<EntryControl, 'explanation' | 'status'> {
  return {
    status: async () => ({
      entryId: 'entry-1',
      notice: source.notice(),
      requestsRunning: 3,
      ready: true,
      servers: [],
    }),
    explanation: async (requestId) =>
      requestId === 'entry-1-7'
        ? {
            requestId,
            account: 'acme',
            template: 'plan',
            decisions: [
              { atMs: 4, stage: 'draft', action: 'route', reason: 'least loaded of two' },
            ],
          }
        : null,
  };
}

function instanceAt(id: string, role: Instance['role'], server: Server): Instance {
  const address = addressOf(server);
  return { id, role, address, failureDomain: 'd1', region: 'default', state: 'live' };
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function listen(listener: RequestListener): Promise<Server> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

function close(server: Server): Promise<void> {
  server.closeAllConnections();
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}
