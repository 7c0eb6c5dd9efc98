import { connect, type Socket } from 'node:net';
import type { Cancellation } from '../../common/events/Cancellation.js';
import type { TaskOutcome } from '../../common/serving/Types.js';
import type { Logger } from '../../telemetry/Logger.js';
import { JsonLinesConnection } from './JsonLinesConnection.js';
import { ChannelReply, type StageRequest } from './PeerMessages.js';

/** Time-out for connecting to a peer, in ms. */
const CONNECT_TIMEOUT_MS = 400;

/** Idle time after which a TCP keep-alive probe is sent, in ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1000;

type Settle = (outcome: TaskOutcome | undefined) => void;

/** Connection to one peer for stage requests. */
export class ChannelClient {
  private readonly pendingRuns = new Map<number, Settle>();

  private readonly socket: Socket;

  private readonly messages: JsonLinesConnection;

  private nextId = 1;

  /**
   * @param address - `ip:port`
   * @param logger - logs connection errors
   * @param onClosed - called when the connection is closed
   */
  constructor(address: string, logger: Logger, onClosed: () => void) {
    const separator = address.lastIndexOf(':');
    this.socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
    });
    const timer = setTimeout(() => this.close(), CONNECT_TIMEOUT_MS);
    this.socket.once('connect', () => clearTimeout(timer));
    this.messages = new JsonLinesConnection(this.socket, (message) =>
      // A message that is no reply throws, which closes the connection.
      this.handleReply(ChannelReply.parse(message)),
    );
    this.socket.on('error', (error) => logger.debug('peer connection failed', { address, error }));
    this.socket.on('close', () => {
      clearTimeout(timer);
      const settles = [...this.pendingRuns.values()];
      this.pendingRuns.clear();
      onClosed();
      settles.forEach((settle) => settle(undefined));
    });
  }

  /**
   * Runs a stage at the peer.
   * @param request - stage request
   * @param cancellation - cancels the stage
   * @returns outcome of the stage; undefined if the connection was lost and the outcome is unknown
   */
  run(request: StageRequest, cancellation: Cancellation): Promise<TaskOutcome | undefined> {
    return new Promise((resolve) => {
      const id = this.nextId;
      this.nextId += 1;
      const subscription = cancellation.onCancelled(() => {
        this.messages.send({ type: 'cancel', id });
        this.pendingRuns.delete(id);
        resolve({ kind: 'failed' });
      });
      this.pendingRuns.set(id, (outcome) => {
        subscription.dispose();
        resolve(outcome);
      });
      this.messages.send({ type: 'run', id, order: request });
    });
  }

  /** Releases results at the peer. */
  release(handles: readonly string[]): void {
    this.messages.send({ type: 'release', handles });
  }

  close(): void {
    this.socket.destroy();
  }

  private handleReply({ id, outcome }: ChannelReply): void {
    const settle = this.pendingRuns.get(id);
    this.pendingRuns.delete(id);
    settle?.(outcome);
  }
}
