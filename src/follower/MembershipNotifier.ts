import type { EntryRouter } from '../entry/EntryRouter.js';
import type { Change } from '../common/protocol/Configuration.js';
import type { MembershipList } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { mapConcurrently } from './Concurrency.js';
import { createTimeoutSignal, createClientLookup, listInstances } from './ConfigurationClients.js';
import type { ChangeNotifier } from './Types.js';

/** Options of {@link MembershipNotifier}. */
export interface MembershipNotifierOptions {
  /** Id of this process, which is not notified. */
  readonly ownId: string;
  readonly membership: MembershipList;
  readonly internalToken: string;
  readonly logger: Logger;
}

/** Sends committed changes to all entries and agents of the membership list, entries first. */
export class MembershipNotifier implements ChangeNotifier {
  private readonly clientOf;

  constructor(private readonly options: MembershipNotifierOptions) {
    this.clientOf = createClientLookup<EntryRouter>(options.internalToken);
  }

  async notify(changes: readonly Change[]): Promise<void> {
    const { membership, ownId, logger } = this.options;
    const instances = await listInstances(membership);
    const targets = instances
      .filter(({ id }) => id !== ownId)
      .sort((left, right) => Number(right.role === 'entry') - Number(left.role === 'entry'))
      .map(({ address }) => address);
    const results = await mapConcurrently(targets, (address) =>
      this.notifyProcess(address, changes),
    );
    const failed = results.filter((success) => !success).length;
    logger.debug('change sent', { revision: changes.at(-1)?.revision, to: targets.length, failed });
  }

  private async notifyProcess(address: string, changes: readonly Change[]): Promise<boolean> {
    try {
      const client = this.clientOf(address);
      await client.configuration.notify.mutate([...changes], { signal: createTimeoutSignal() });
      return true;
    } catch {
      // The process receives the change by polling or from a notice on the next message.
      return false;
    }
  }
}
