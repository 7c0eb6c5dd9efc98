/** Rules about the stages of routes and the services that run them. */
import type { Route, ServiceDefinition, ServingConfiguration } from '../ServingConfiguration.js';
import { quote } from './Quote.js';
import type { Finding, Rule } from './Types.js';

/** A stage with the route and the service that it names. */
interface StageContext {
  readonly route: Route;
  readonly routeIndex: number;
  readonly stageIndex: number;
  readonly service: ServiceDefinition | undefined;
}

/** Finds stages that depend on themselves, on later ones or on stages that do not exist. */
export const findInvalidDependencies: Rule = (configuration) =>
  eachStage(configuration, ({ route: { stages }, routeIndex, stageIndex }) =>
    (stages[stageIndex]?.dependsOn ?? []).flatMap((source, index): Finding[] => {
      if (source < stageIndex) return [];
      const path = ['routes', routeIndex, 'stages', stageIndex, 'dependsOn', index];
      const message = describeInvalidSource(source, stageIndex, stages.length);
      return [{ rule: 'stage-dependency', severity: 'error', path, message }];
    }),
  );

/** Finds stages whose service is defined, but not as a stage service. */
export const findMissingCapacity: Rule = (configuration) =>
  eachStage(configuration, ({ routeIndex, stageIndex, service }) => {
    if (!service || service.stage) return [];
    const path = ['routes', routeIndex, 'stages', stageIndex, 'service'];
    const message = `service ${quote(service.name)} has no stage capacity, so it cannot run a stage`;
    return [{ rule: 'stage-without-capacity', severity: 'error', path, message }];
  });

/** Finds stages with results that no server of the service has memory for. */
export const findTooLargeResults: Rule = (configuration) =>
  eachStage(configuration, ({ route, routeIndex, stageIndex, service }) => {
    const resultBytes = route.stages[stageIndex]?.resultBytes ?? 0;
    const roomBytes = service?.stage?.resultRoomBytes ?? Infinity;
    if (resultBytes <= roomBytes) return [];
    const path = ['routes', routeIndex, 'stages', stageIndex, 'resultBytes'];
    const message = `a result of ${resultBytes} bytes exceeds the ${roomBytes} bytes that a server of ${quote(service?.name ?? '')} has for results`;
    return [{ rule: 'result-above-memory', severity: 'error', path, message }];
  });

/**
 * Finds routes whose time-out passes before their stages can end: a single call of one piece, or the
 * longest chain of such calls.
 */
export const findLongStages: Rule = (configuration) => {
  const services = servicesByName(configuration);
  return configuration.routes.flatMap((route, routeIndex): Finding[] => {
    const durations = route.stages.map(({ service }) => callMs(services.get(service)));
    const calls = durations.flatMap((durationMs, stageIndex): Finding[] => {
      if (durationMs <= route.timeoutMs) return [];
      const path = ['routes', routeIndex, 'stages', stageIndex, 'service'];
      const message = `a call with one piece takes ${durationMs} ms, above the time-out of ${route.timeoutMs} ms`;
      return [{ rule: 'stage-call-above-timeout', severity: 'error', path, message }];
    });
    if (calls.length > 0) return calls;
    const chainMs = longestChainMs(route, durations);
    if (chainMs <= route.objectiveMs) return [];
    const isLate = chainMs > route.timeoutMs;
    const limit = isLate
      ? `time-out of ${route.timeoutMs} ms`
      : `latency objective of ${route.objectiveMs} ms`;
    return [
      {
        rule: isLate ? 'stages-above-timeout' : 'stages-above-objective',
        severity: isLate ? 'error' : 'warning',
        path: ['routes', routeIndex, 'stages'],
        message: `the longest chain of stages takes ${chainMs} ms, above the ${limit}`,
      },
    ];
  });
};

function describeInvalidSource(source: number, stageIndex: number, stageCount: number): string {
  if (source === stageIndex) return 'the stage depends on itself';
  if (source < stageCount) return `the stage depends on stage ${source}, a later one`;
  return `the stage depends on stage ${source}, but the route has ${stageCount} stages`;
}

function longestChainMs({ stages }: Route, durations: readonly number[]): number {
  const ends: number[] = [];
  let longestMs = 0;
  stages.forEach(({ dependsOn }, index) => {
    // Later stages have no end yet; another rule reports that dependency.
    const startMs = dependsOn.reduce((latest, source) => Math.max(latest, ends[source] ?? 0), 0);
    const endMs = startMs + (durations[index] ?? 0);
    ends.push(endMs);
    longestMs = Math.max(longestMs, endMs);
  });
  return longestMs;
}

/** @returns duration of a call with one piece, in ms; 0 if the service has no stage capacity */
function callMs(service: ServiceDefinition | undefined): number {
  return service?.stage ? service.stage.callMs + service.stage.pieceMs : 0;
}

function eachStage(
  configuration: ServingConfiguration,
  find: (context: StageContext) => Finding[],
): Finding[] {
  const services = servicesByName(configuration);
  return configuration.routes.flatMap((route, routeIndex) =>
    route.stages.flatMap(({ service: name }, stageIndex) =>
      find({ route, routeIndex, stageIndex, service: services.get(name) }),
    ),
  );
}

function servicesByName({ services }: ServingConfiguration): Map<string, ServiceDefinition> {
  return new Map(services.map((service) => [service.name, service]));
}
