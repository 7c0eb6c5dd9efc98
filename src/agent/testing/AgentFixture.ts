/** Starts agents against stand-in services and sends them attempts as an entry does. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createTRPCClient, httpLink } from '@trpc/client';
import { request } from 'undici';
import { ATTEMPT_PATH, Frame, type Attempt } from '../../common/protocol/Attempt.js';
import { INTERNAL_TOKEN_HEADER, TRPC_PATH } from '../../common/protocol/Control.js';
import { StandinHost } from '../../standin/StandinHost.js';
import { StandinSettings } from '../../standin/StandinSettings.js';
import { AgentProcess } from '../AgentProcess.js';
import type { AgentRouter } from '../AgentRouter.js';
import { AgentSettings } from '../AgentSettings.js';

/** Internal token of the agents under test. */
export const TEST_TOKEN = 'test-internal-token';

const READY_POLL_MS = 10;

/** An agent reads its configuration within a second; the rest is tolerance for a busy machine. */
const READY_TIMEOUT_MS = 10_000;

/** Running stand-in services, addressed by name. */
export interface Standins {
  /** @returns base URL of a stand-in */
  url(name: string): string;
  /** Sets the faults of a stand-in. */
  faults(name: string, faults: Record<string, unknown>): Promise<void>;
  /** @returns runs recorded by a backend stand-in */
  runs(name: string): Promise<{ attemptId: string; finished: boolean }[]>;
  /** @returns value of a counter of a stand-in */
  counter(name: string, counter: string): Promise<unknown>;
  close(): Promise<void>;
}

/**
 * Starts stand-ins of the stores, the membership list, a plain service (`plain`) and a model engine
 * (`engine`).
 * @param serviceMs - mean service time of the plain service, in ms
 */
export async function startStandins(serviceMs: number): Promise<Standins> {
  const address = '127.0.0.1:0';
  const { services } = StandinSettings.parse({
    services: [
      { kind: 'table', name: 'table', address },
      { kind: 'object', name: 'object', address },
      { kind: 'membership', name: 'membership', address },
      { kind: 'plain', name: 'plain', address, slots: 64, serviceTime: { meanMs: serviceMs } },
      { kind: 'engine', name: 'engine', address, models: ['m'], tokensPerSecond: 1000 },
    ],
  });
  const host = new StandinHost();
  const running = await host.start(services);
  const url = (name: string) =>
    `http://${running.find((service) => service.name === name)!.address}`;
  return {
    url,
    faults: async (name, faults) => {
      const response = await request(`${url(name)}/control/faults`, {
        method: 'PUT',
        body: JSON.stringify(faults),
      });
      await response.body.dump();
    },
    runs: async (name) => {
      const response = await request(`${url(name)}/control/runs`);
      const body = (await response.body.json()) as { runs?: [] } | [];
      return Array.isArray(body) ? body : body.runs!;
    },
    counter: async (name, counter) => {
      const response = await request(`${url(name)}/control/counters`);
      const body = (await response.body.json()) as Record<string, unknown>;
      return body[counter];
    },
    close: () => host.close(),
  };
}

/** A running agent and a client for it. */
export interface RunningAgent {
  readonly address: string;
  readonly incarnation: string;
  readonly process: AgentProcess;
  readonly control: ReturnType<typeof createControl>;
  /** Sends an attempt and reads frames until the final one. */
  submit(attempt: Attempt): Promise<Frame[]>;
}

/**
 * Creates the settings of an agent.
 * @param standins - services that the agent uses
 * @param backend - name of the backend stand-in
 * @param fields - fields that override the defaults
 * @returns settings in the format of a settings file
 */
export function createSettings(
  standins: Standins,
  backend: string,
  fields: Record<string, unknown> = {},
): Record<string, unknown> {
  return {
    id: 'agent-1',
    address: '127.0.0.1:0',
    failureDomain: 'a',
    platform: {
      tableUrl: standins.url('table'),
      objectUrl: standins.url('object'),
      membershipUrl: standins.url('membership'),
    },
    internalToken: TEST_TOKEN,
    backend: { id: 'server-1', url: standins.url(backend), pool: 'pool', slots: 4 },
    log: { level: 'error' },
    shutdown: { deadlineMs: 1000 },
    ...fields,
  };
}

/**
 * Starts an agent in this process and waits until it is ready.
 * @param standins - services that the agent uses
 * @param backend - name of the backend stand-in
 * @param fields - settings that override the defaults
 * @returns the agent and a client for it
 */
export async function startAgent(
  standins: Standins,
  backend: string,
  fields: Record<string, unknown> = {},
): Promise<RunningAgent> {
  const settings = AgentSettings.parse(createSettings(standins, backend, fields));
  const process = new AgentProcess(settings);
  const { address, incarnation } = await process.start();
  await waitUntilReady(address);
  return {
    address,
    incarnation,
    process,
    control: createControl(address),
    submit: (attempt) => submitAttempt(address, attempt),
  };
}

/**
 * Waits until an agent is ready. Before it has a configuration, it refuses attempts.
 * @param address - `ip:port` of the agent
 * @throws Error if the agent is not ready within {@link READY_TIMEOUT_MS}
 */
export async function waitUntilReady(address: string): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  for (;;) {
    const { statusCode, body } = await request(`http://${address}/readyz`);
    await body.dump();
    if (statusCode === 200) return;
    if (Date.now() >= deadline) throw new Error('the agent did not become ready in time');
    await sleep(READY_POLL_MS);
  }
}

/**
 * Sends an attempt and reads its frames.
 * @param address - `ip:port` of the agent
 * @param attempt - attempt to send
 * @returns frames up to the final one
 */
export async function submitAttempt(address: string, attempt: Attempt): Promise<Frame[]> {
  const response = await request(`http://${address}${ATTEMPT_PATH}`, {
    method: 'POST',
    headers: { [INTERNAL_TOKEN_HEADER]: `Bearer ${TEST_TOKEN}` },
    body: JSON.stringify(attempt),
  });
  const text = await response.body.text();
  return text
    .trim()
    .split('\n')
    .map((line) => Frame.parse(JSON.parse(line)));
}

/**
 * @param address - `ip:port` of the agent
 * @returns client for the control calls of the agent
 */
export function createControl(address: string) {
  return createTRPCClient<AgentRouter>({
    links: [
      httpLink({
        url: `http://${address}${TRPC_PATH}`,
        headers: { [INTERNAL_TOKEN_HEADER]: `Bearer ${TEST_TOKEN}` },
      }),
    ],
  });
}
