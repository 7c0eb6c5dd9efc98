/** Creates an entry from its settings. */
import { randomBytes } from 'node:crypto';
import { SeededRandom } from '../common/time/SeededRandom.js';
import { ConfigurationFollower } from '../follower/ConfigurationFollower.js';
import { ConfigurationPublisher } from '../follower/ConfigurationPublisher.js';
import { createPeerLookup } from '../follower/ConfigurationClients.js';
import { MembershipNotifier } from '../follower/MembershipNotifier.js';
import { LedgerWriter } from '../ledger/LedgerWriter.js';
import { HttpMembershipList } from '../storage/HttpMembershipList.js';
import { CachedMembershipList } from '../storage/CachedMembershipList.js';
import { HttpObjectStore } from '../storage/HttpObjectStore.js';
import { HttpTableStore } from '../storage/HttpTableStore.js';
import { SystemClock } from '../storage/SystemClock.js';
import type { Logger } from '../telemetry/Logger.js';
import { createMetrics } from '../telemetry/Metrics.js';
import { createTracing } from '../telemetry/Tracing.js';
import { Entry } from './Entry.js';
import { createOperatorApi } from './operator/OperatorApi.js';
import type { EntrySettings } from './EntrySettings.js';

const INCARNATION_BYTES = 8;
const SEED_BYTES = 4;

/**
 * Creates an entry that uses the platform's services, and starts following the configuration.
 * @param settings - validated settings
 * @param logger - logger of the process
 * @returns the entry, not listening yet
 */
export function createEntry(settings: EntrySettings, logger: Logger): Entry {
  const clock = new SystemClock();
  const random = new SeededRandom(randomBytes(SEED_BYTES).readInt32LE());
  const table = new HttpTableStore(settings.platform.tableUrl);
  const membership = new CachedMembershipList(
    new HttpMembershipList(settings.platform.membershipUrl, logger),
  );
  const configuration = new ConfigurationFollower({
    store: table,
    clock,
    random,
    pollIntervalMs: settings.configuration.pollIntervalMs,
    peers: createPeerLookup({
      ownId: settings.id,
      membership,
      addresses: settings.peers,
      internalToken: settings.internalToken,
    }),
    logger,
  });
  configuration.start().catch((error: unknown) => {
    logger.error('reading the configuration failed', { reason: String(error) });
  });
  return new Entry({
    settings,
    clock,
    random,
    configuration,
    membership,
    table,
    objects: new HttpObjectStore(settings.platform.objectUrl),
    ledger: new LedgerWriter({
      store: table,
      clock,
      writer: 'entry',
      writerId: settings.id,
      incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
      flushIntervalMs: settings.ledger.flushIntervalMs,
      logger,
    }),
    logger,
    metrics: createMetrics(),
    tracing: createTracing(settings.id, settings.tracing),
    operators: (control) =>
      createOperatorApi({
        entryId: settings.id,
        operators: settings.operators,
        internalToken: settings.internalToken,
        source: configuration,
        writer: new ConfigurationPublisher({
          store: table,
          clock,
          source: configuration,
          notifier: new MembershipNotifier({
            ownId: settings.id,
            membership,
            internalToken: settings.internalToken,
            logger,
          }),
          logger,
        }),
        store: table,
        membership,
        control,
        clock,
        logger,
      }),
  });
}
