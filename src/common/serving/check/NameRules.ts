/** Rules about names of routes, services and client accounts. */
import type { ServingConfiguration } from '../ServingConfiguration.js';
import { quote } from './Quote.js';
import type { FieldPath, Finding, Rule } from './Types.js';

/** A reference to a service by its name. */
interface ServiceReference {
  readonly name: string;
  readonly path: FieldPath;
}

/** Finds names that two routes, services or client accounts have. */
export const findRepeatedNames: Rule = ({ routes, services, accounts = [] }) => [
  ...findRepeated('routes', 'route', routes),
  ...findRepeated('services', 'service', services),
  ...findRepeated('accounts', 'account', accounts),
];

/** Finds services that a route or stage names and that are not defined. */
export const findUndefinedServices: Rule = (configuration) => {
  const names = new Set(configuration.services.map(({ name }) => name));
  return serviceReferences(configuration).flatMap(({ name, path }): Finding[] => {
    if (names.has(name)) return [];
    const message = `service ${quote(name)} is not defined`;
    return [{ rule: 'service-undefined', severity: 'error', path, message }];
  });
};

/** Finds services that no route and no stage names. */
export const findUnusedServices: Rule = (configuration) => {
  const used = new Set(serviceReferences(configuration).map(({ name }) => name));
  return configuration.services.flatMap(({ name }, index): Finding[] => {
    if (used.has(name)) return [];
    const message = `no route and no stage uses service ${quote(name)}`;
    return [{ rule: 'service-unused', severity: 'warning', path: ['services', index], message }];
  });
};

function serviceReferences({ routes }: ServingConfiguration): ServiceReference[] {
  return routes.flatMap(({ targets, stages }, route) => [
    ...targets.map(({ service: name }, index) => ({
      name,
      path: ['routes', route, 'targets', index, 'service'],
    })),
    ...stages.map(({ service: name }, index) => ({
      name,
      path: ['routes', route, 'stages', index, 'service'],
    })),
  ]);
}

function findRepeated(
  field: string,
  subject: string,
  entries: readonly { readonly name: string }[],
): Finding[] {
  const names = new Set<string>();
  return entries.flatMap(({ name }, index): Finding[] => {
    if (!names.has(name)) {
      names.add(name);
      return [];
    }
    const path = [field, index, 'name'];
    const message = `another ${subject} is named ${quote(name)} too`;
    return [{ rule: 'name-repeated', severity: 'error', path, message }];
  });
}
