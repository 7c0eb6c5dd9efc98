import type { Change } from '../common/protocol/Configuration.js';
import type { MembershipList } from '../platform/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { callSignal, createClients, listInstances } from './ConfigurationClients.js';
import type { ChangeNotifier } from './Types.js';

/** Calls under way at a time; 1,100 processes are told in about 35 rounds of a few ms. */
const CONCURRENCY = 32;

/** Options of {@link MembershipNotifier}. */
export interface MembershipNotifierOptions {
  /** Own id, which needs no notice. */
  readonly ownId: string;
  readonly membership: MembershipList;
  readonly internalToken: string;
  readonly logger: Logger;
}

/** Sends committed changes to all entries and agents of the membership list, entries first. */
export class MembershipNotifier implements ChangeNotifier {
  private readonly clientOf;

  constructor(private readonly options: MembershipNotifierOptions) {
    this.clientOf = createClients(options.internalToken);
  }

  async notify(changes: readonly Change[]): Promise<void> {
    const { membership, ownId, logger } = this.options;
    const instances = await listInstances(membership);
    const targets = instances
      .filter(({ id }) => id !== ownId)
      .sort((left, right) => Number(right.role === 'entry') - Number(left.role === 'entry'))
      .map(({ address }) => address);
    let failed = 0;
    const work = targets.values();
    const send = async (): Promise<void> => {
      for (const address of work) {
        const told = await this.tell(address, changes);
        if (!told) failed += 1;
      }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, send));
    logger.debug('change sent', { revision: changes.at(-1)?.revision, to: targets.length, failed });
  }

  private async tell(address: string, changes: readonly Change[]): Promise<boolean> {
    try {
      const client = this.clientOf(address);
      await client.configuration.notify.mutate([...changes], { signal: callSignal() });
      return true;
    } catch {
      // The process learns the change by polling or from the next message.
      return false;
    }
  }
}
