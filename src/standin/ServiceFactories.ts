/** Creates services by kind. */
import murmurhash from 'murmurhash';
import { EngineService } from './engine/EngineService.js';
import type { FaultState } from './FaultState.js';
import { MembershipService } from './membership/MembershipService.js';
import { ObjectService } from './object/ObjectService.js';
import { EffectCounts } from './plain/EffectCounts.js';
import { createPlainWorkFinder } from './plain/PlainWork.js';
import { STAGE_SERVERS, type StageServerKind } from './stage/StageWork.js';
import { BackendService } from './stage/BackendService.js';
import type { ServiceKind, ServiceSettings } from './StandinSettings.js';
import { TableService } from './table/TableService.js';
import type { Service } from './Types.js';
import { WeightService } from './weights/WeightService.js';

type Factory<K extends ServiceKind> = (
  settings: Extract<ServiceSettings, { kind: K }>,
  state: FaultState,
) => Service;

const FACTORIES: { readonly [K in ServiceKind]: Factory<K> } = {
  table: (settings, state) => new TableService(settings, state),
  object: () => new ObjectService(),
  membership: (settings, state) => new MembershipService(settings, state),
  weights: (settings, state) => new WeightService(settings, state),
  engine: (settings, state) => new EngineService({ ...settings, seed: seedOf(settings) }, state),
  encoder: createStageService,
  retriever: createStageService,
  reranker: createStageService,
  plain: (settings, state) => {
    const effects = new EffectCounts();
    return new BackendService(
      { ...settings, seed: seedOf(settings) },
      state,
      createPlainWorkFinder(effects),
      () => effects.counters(),
    );
  },
};

/**
 * Creates a service.
 * @param settings - checked settings
 * @param state - faults of the service
 * @returns the service, not yet listening
 */
export function createService(settings: ServiceSettings, state: FaultState): Service {
  const factory = FACTORIES[settings.kind] as Factory<ServiceKind>;
  return factory(settings, state);
}

/**
 * Returns the seed of a service.
 * @param settings - settings of the service
 * @returns seed from the settings; default: a hash of the name
 */
export function seedOf(settings: Pick<ServiceSettings, 'name' | 'seed'>): number {
  return settings.seed ?? murmurhash.v3(settings.name);
}

function createStageService(
  settings: Extract<ServiceSettings, { kind: StageServerKind }>,
  state: FaultState,
): Service {
  const { path: servedPath, createWork } = STAGE_SERVERS[settings.kind];
  return new BackendService({ ...settings, seed: seedOf(settings) }, state, (method, path) =>
    method === 'POST' && path === servedPath ? createWork : undefined,
  );
}
