/** Finds entries of a configuration that have no effect and limits that contradict each other. */
import type { ServingConfiguration } from '../ServingConfiguration.js';
import { findMissingKeys, findRepeatedKeys } from './AccountRules.js';
import { findWrongBodyLimit, findWrongHeaderLimit } from './LimitRules.js';
import { findRepeatedNames, findUndefinedServices, findUnusedServices } from './NameRules.js';
import {
  findShortTimeouts,
  findUnmatchedRoutes,
  findUnusableServers,
  findUnusedWeights,
} from './RouteRules.js';
import {
  findInvalidDependencies,
  findLongStages,
  findMissingCapacity,
  findTooLargeResults,
} from './StageRules.js';
import type { CheckOptions, FieldPath, Finding, Rule } from './Types.js';

const RULES: readonly Rule[] = [
  findRepeatedNames,
  findUndefinedServices,
  findUnusedServices,
  findUnmatchedRoutes,
  findShortTimeouts,
  findUnusableServers,
  findUnusedWeights,
  findInvalidDependencies,
  findMissingCapacity,
  findTooLargeResults,
  findLongStages,
  findWrongHeaderLimit,
  findWrongBodyLimit,
  findRepeatedKeys,
  findMissingKeys,
];

/**
 * Checks a configuration that the schema accepts.
 * @param configuration - configuration to check
 * @param options - what is known about the deployment
 * @returns all findings, in the order of their paths
 */
export function checkConfiguration(
  configuration: ServingConfiguration,
  options: CheckOptions = {},
): Finding[] {
  return RULES.flatMap((rule) => rule(configuration, options)).sort((left, right) =>
    comparePaths(left.path, right.path),
  );
}

function comparePaths(left: FieldPath, right: FieldPath): number {
  const length = Math.min(left.length, right.length);
  for (let index = 0; index < length; index += 1) {
    const order = compareSegments(left[index]!, right[index]!);
    if (order !== 0) return order;
  }
  return left.length - right.length;
}

function compareSegments(left: string | number, right: string | number): number {
  if (typeof left === 'number' && typeof right === 'number') return left - right;
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
