/** Computes the capacity of a deployment and draws seeded Poisson arrivals. */
import { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Stage } from '../../common/protocol/Configuration.js';
import type { Deployment, Pool } from '../deployment/Types.js';
import type { Arrival, BenchOptions } from './Types.js';

const MS_PER_SECOND = 1000;

/** Start and end of a burst as fractions of the run, and its multiple of the offered rate. */
const BURST = { from: 0.4, to: 0.6, factor: 3 };

/**
 * @param deployment - deployment whose traffic parts sum to 1
 * @returns requests per second at which the bottleneck pool has all slots in use
 */
export function capacityPerSecond(deployment: Deployment): number {
  const rates = deployment.pools.map((pool) => {
    const demandMs = deployment.traffic
      .flatMap(({ template, part }) =>
        template.stages
          .filter((stage) => stage.pool === pool.name)
          .map((stage) => part * occupancyMs(pool, stage)),
      )
      .reduce((total, value) => total + value, 0);
    return (pool.servers * pool.slots * MS_PER_SECOND) / demandMs;
  });
  return Math.min(...rates);
}

/**
 * Draws the requests of a run. The same options always produce the same requests.
 * @param deployment - deployment that receives the requests
 * @param options - seed, length, offered load and fault
 * @returns requests, ordered by arrival time
 */
export function drawArrivals(deployment: Deployment, options: BenchOptions): Arrival[] {
  const random = new SeededRandom(options.seed);
  const perSecond = capacityPerSecond(deployment) * options.load;
  const endMs = options.seconds * MS_PER_SECOND;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < endMs) {
    const rate = perSecond * burstFactor(options.fault, atMs / endMs);
    atMs += (-Math.log(1 - random.next()) * MS_PER_SECOND) / rate;
    arrivals.push(drawArrival(deployment, random, atMs, `${options.seed}-${arrivals.length}`));
  }
  return arrivals.filter((arrival) => arrival.atMs < endMs);
}

function drawArrival(
  deployment: Deployment,
  random: SeededRandom,
  atMs: number,
  token: string,
): Arrival {
  const account = drawWeighted(deployment.accounts, (item) => item.share, random.next());
  const traffic = drawWeighted(deployment.traffic, (item) => item.part, random.next());
  const isKeyed = traffic.template.stages.some((stage) => !stage.idempotent);
  return {
    atMs,
    account,
    traffic,
    input: traffic.input(token),
    idempotencyKey: isKeyed ? token : undefined,
    entry: Math.floor(random.next() * deployment.entries),
  };
}

function drawWeighted<T>(items: readonly T[], weightOf: (item: T) => number, point: number): T {
  const total = items.reduce((sum, item) => sum + weightOf(item), 0);
  let remaining = point * total;
  const chosen = items.find((item) => {
    remaining -= weightOf(item);
    return remaining < 0;
  });
  return chosen ?? items[items.length - 1]!;
}

function burstFactor(fault: string, progress: number): number {
  const isBurst = fault === 'burst' || fault === 'mixed';
  return isBurst && progress >= BURST.from && progress < BURST.to ? BURST.factor : 1;
}

function occupancyMs(pool: Pool, stage: Stage): number {
  const tokens = typeof stage.input.maxTokens === 'number' ? stage.input.maxTokens : 0;
  return pool.serviceMs + tokens * (pool.tokenIntervalMs ?? 0);
}
