/** Readiness checks of entries and agents, with the same request as the platform's balancer. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;

/**
 * Polls `GET /readyz` until it returns status 200.
 * @param address - `ip:port` of an entry or agent
 * @throws Error if the process does not become ready in time
 */
export async function waitUntilReady(address: string): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (!(await isReady(address))) {
    if (Date.now() > deadline)
      throw new Error(`${address} did not become ready within ${READY_TIMEOUT_MS} ms`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/**
 * Requests `GET /readyz` once.
 * @param address - `ip:port` of an entry or agent
 * @returns whether the process reports that it is ready; false if it does not answer
 */
export async function isReady(address: string): Promise<boolean> {
  try {
    const response = await request(`http://${address}/readyz`, {
      signal: AbortSignal.timeout(500),
    });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
