import type { Route } from '../common/serving/ServingConfiguration.js';

/**
 * @param route - route of a request
 * @param random - random source, at least 0 and below 1
 * @returns service of the request, in proportion to the weights of the route
 */
export function chooseService(
  { targets, name }: Pick<Route, 'targets' | 'name'>,
  random: () => number,
): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = random() * total;
  const chosen = targets.find(({ weight }) => {
    point -= weight;
    return point < 0;
  });
  const { service } = chosen ?? targets[0] ?? {};
  if (service === undefined) throw new Error(`route ${name} has no service`);
  return service;
}
