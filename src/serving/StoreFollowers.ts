import type { RowFeed } from '../storage/RowFeed.js';
import { TableFollower, type FollowerOptions, type TableListener } from './TableFollower.js';

/** What {@link StoreFollowers} needs of its surroundings. */
export interface FollowersServices extends Pick<
  FollowerOptions,
  'logger' | 'processes' | 'random'
> {
  /** Makes a connection to the store. */
  readonly createFeed: () => RowFeed;
}

/** The tables that a process follows, each on a connection of its own. */
export class StoreFollowers {
  private readonly followers: TableFollower[] = [];

  private readonly feeds: RowFeed[] = [];

  constructor(private readonly services: FollowersServices) {}

  /** @returns a connection that is closed with the others */
  openFeed(): RowFeed {
    const feed = this.services.createFeed();
    this.feeds.push(feed);
    return feed;
  }

  /**
   * Follows a table until {@link dispose}.
   * @param table - name of the table
   * @param waitMs - time that the store waits for a change, in ms
   * @param listener - takes rows and, if it likes, word of the store
   */
  follow(
    table: string,
    waitMs: number,
    listener: Partial<TableListener> & Pick<TableListener, 'replaceAll' | 'apply'>,
  ): void {
    const { logger, processes, random } = this.services;
    const follower = new TableFollower({
      feed: this.openFeed(),
      table,
      waitMs,
      listener: { onReachable: () => undefined, onLost: () => undefined, ...listener },
      logger,
      processes,
      random,
    });
    this.followers.push(follower);
    follower.run().catch((error: unknown) => logger.error('follower failed', { table, error }));
  }

  /** Ends the followers and closes their connections. */
  async dispose(): Promise<void> {
    this.followers.forEach((follower) => follower.dispose());
    await Promise.all(this.feeds.map((feed) => feed.close()));
  }
}
