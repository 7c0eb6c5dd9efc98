import type { RowFeed } from '../storage/RowFeed.js';
import { TableFollower, type TableFollowerOptions, type TableListener } from './TableFollower.js';

/** Dependencies of {@link StoreFollowers}. */
export interface StoreFollowersServices extends Pick<
  TableFollowerOptions,
  'logger' | 'fleet' | 'random' | 'storeEra'
> {
  /** Opens a connection to the store. */
  readonly createFeed: () => RowFeed;
}

/** Followers of the store's tables, each with a separate connection. */
export class StoreFollowers {
  private readonly followers: TableFollower[] = [];

  private readonly feeds: RowFeed[] = [];

  constructor(private readonly services: StoreFollowersServices) {}

  /** @returns a new connection, which {@link dispose} closes */
  openFeed(): RowFeed {
    const feed = this.services.createFeed();
    this.feeds.push(feed);
    return feed;
  }

  /**
   * Follows a table until {@link dispose}.
   * @param table - name of the table
   * @param waits - time between two reads of the fleet, and the longest pause after a change, in ms
   * @param listener - receives rows and, optionally, whether the store is reachable
   */
  follow(
    table: string,
    waits: Pick<TableFollowerOptions, 'pollSpacingMs' | 'maxReadGapMs' | 'maxWaitMs'>,
    listener: Partial<TableListener> & Pick<TableListener, 'replaceAll' | 'apply'>,
  ): void {
    const { logger, fleet, random, storeEra } = this.services;
    const follower = new TableFollower({
      feed: this.openFeed(),
      table,
      ...waits,
      listener: {
        onStoreReachable: () => undefined,
        onStoreUnreachable: () => undefined,
        ...listener,
      },
      logger,
      fleet,
      random,
      storeEra,
    });
    this.followers.push(follower);
    follower
      .run()
      .catch((error: unknown) => logger.error('table follower failed', { table, error }));
  }

  /** Stops the followers and closes all connections. */
  async dispose(): Promise<void> {
    this.followers.forEach((follower) => follower.dispose());
    await Promise.all(this.feeds.map((feed) => feed.close()));
  }
}
