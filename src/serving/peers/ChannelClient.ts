import { connect, type Socket } from 'node:net';
import type { Cancellation } from '../../common/events/Cancellation.js';
import type { TaskOutcome } from '../../common/serving/StageQueue.js';
import type { Logger } from '../../telemetry/Logger.js';
import { MessageLines } from './MessageLines.js';
import type { ChannelReply, StageOrder } from './PeerMessages.js';

/** Time-out for connecting to a peer, in ms. */
const CONNECT_TIMEOUT_MS = 400;

/** Idle time after which a TCP keep-alive probe is sent, in ms. */
const PROBE_DELAY_MS = 1000;

type Settle = (outcome: TaskOutcome | undefined) => void;

/** Connection to one peer for stage requests. */
export class ChannelClient {
  private readonly waiting = new Map<number, Settle>();

  private readonly socket: Socket;

  private readonly lines: MessageLines;

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
      keepAliveInitialDelay: PROBE_DELAY_MS,
    });
    const timer = setTimeout(() => this.close(), CONNECT_TIMEOUT_MS);
    this.socket.once('connect', () => clearTimeout(timer));
    this.lines = new MessageLines(this.socket, (message) => this.take(message as ChannelReply));
    this.socket.on('error', (error) => logger.debug('peer connection failed', { address, error }));
    this.socket.on('close', () => {
      clearTimeout(timer);
      const settles = [...this.waiting.values()];
      this.waiting.clear();
      onClosed();
      settles.forEach((settle) => settle(undefined));
    });
  }

  /**
   * Runs a stage at the peer.
   * @param order - stage request
   * @param cancellation - cancels the stage
   * @returns outcome of the stage; undefined if the connection was lost and the outcome is unknown
   */
  run(order: StageOrder, cancellation: Cancellation): Promise<TaskOutcome | undefined> {
    return new Promise((resolve) => {
      const id = this.nextId;
      this.nextId += 1;
      const subscription = cancellation.onCancelled(() => {
        this.lines.send({ type: 'cancel', id });
        this.waiting.delete(id);
        resolve({ kind: 'failed' });
      });
      this.waiting.set(id, (outcome) => {
        subscription.dispose();
        resolve(outcome);
      });
      this.lines.send({ type: 'run', id, order });
    });
  }

  /** Releases results at the peer. */
  release(handles: readonly string[]): void {
    this.lines.send({ type: 'release', handles });
  }

  close(): void {
    this.socket.destroy();
  }

  private take({ id, outcome }: ChannelReply): void {
    const settle = this.waiting.get(id);
    this.waiting.delete(id);
    settle?.(outcome);
  }
}
