import { EnginePlacement } from '../common/serving/EnginePlacement.js';
import { HedgePolicy } from '../common/serving/HedgePolicy.js';
import type { HedgeSettings } from '../common/serving/HedgeSettings.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import { Hedging, type HedgingServices } from './Hedging.js';
import { CrashGuard } from './CrashGuard.js';
import { PromptGuard } from './PromptGuard.js';
import { RequestGuard } from './RequestGuard.js';
import { RequestRunner, type RequestRunnerServices } from './RequestRunner.js';
import type { ServerObservations } from './ServerObservations.js';
import { ServerSelection, type ServerSelectionServices } from './ServerSelection.js';
import type { StageClient } from './StageClient.js';
import { StageRunner } from './StageRunner.js';
import type { StreamOriginTable } from './StreamOriginTable.js';
import { StreamVersions } from './StreamVersions.js';

/** Dependencies of {@link createRequestRunner}. */
export interface RequestRunnerParts
  extends
    Pick<
      RequestRunnerServices,
      'clock' | 'connections' | 'logger' | 'metrics' | 'protocol' | 'retryBudgets'
    >,
    Pick<ServerSelectionServices, 'failureDomain' | 'peerView' | 'random' | 'routeTable'> {
  readonly directory: ServerDirectory;
  readonly observations: ServerObservations;
  readonly stageClient: StageClient;
  readonly streamTable: StreamOriginTable;
  readonly secondSends: HedgeSettings | undefined;
}

/**
 * Creates the runner of a process's requests and the decisions that it depends on.
 * @param parts - state and connections of the process
 * @returns the runner
 */
export function createRequestRunner(parts: RequestRunnerParts): RequestRunner {
  const { clock, metrics, observations, directory, stageClient, routeTable } = parts;
  const { records, statements, crashingParts, requestCrashes, engineSpeeds } = observations;
  const placement = new EnginePlacement(clock, records, engineSpeeds);
  directory.onRemoved(({ id }) => placement.forget(id));
  const selection = new ServerSelection({ ...parts, records, statements, placement });
  const crashGuard = new CrashGuard([
    new PromptGuard(clock, crashingParts, metrics),
    new RequestGuard(clock, requestCrashes, metrics),
  ]);
  const streamVersions = new StreamVersions({
    directory,
    metrics,
    origins: observations.streamOrigins,
    table: parts.streamTable,
  });
  const services = { ...parts, records, statements, selection, crashGuard, streamVersions };
  return new RequestRunner({
    ...services,
    placement,
    stageRunner: new StageRunner({ clock, stageClient, metrics, routeTable, directory }),
    hedging: createHedging(services),
  });
}

/** @returns hedging of slow requests; undefined if the settings do not call for it */
function createHedging({
  secondSends,
  ...services
}: Omit<HedgingServices, 'policy'> & Pick<RequestRunnerParts, 'secondSends'>): Hedging | undefined {
  if (!secondSends || secondSends.ratio === 0) return undefined;
  return new Hedging({ ...services, policy: new HedgePolicy(services.clock, secondSends) });
}
