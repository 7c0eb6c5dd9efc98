import { createServer, type Server, type Socket } from 'node:net';
import { Cancellation } from '../../common/events/Cancellation.js';
import type { TaskOutcome } from '../../common/serving/Types.js';
import type { Logger } from '../../telemetry/Logger.js';
import { JsonLinesConnection } from './JsonLinesConnection.js';
import { ChannelRequest, type StageRequest } from './PeerMessages.js';

/** Malformed messages after which a connection is closed; a later version may send a few. */
const MAX_MALFORMED_MESSAGES = 10;

/** Most connections; several times those of the largest deployment. */
const MAX_CONNECTIONS = 256;

/** Runs the stages that peers request. */
export interface PeerStageHandler {
  runStage(request: StageRequest, cancellation: Cancellation): Promise<TaskOutcome>;
  release(handles: readonly string[]): void;
}

type Handlers = {
  readonly [Type in ChannelRequest['type']]: (
    message: Extract<ChannelRequest, { type: Type }>,
  ) => void;
};

/**
 * Receives stage requests of peers. Requests are multiplexed on persistent connections: a separate
 * call for each would take several times the processor time of the batching itself.
 */
export class ChannelServer {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  /**
   * @param stageHandler - runs the requested stages
   * @param logger - logs failed requests and connections
   */
  constructor(
    private readonly stageHandler: PeerStageHandler,
    private readonly logger: Logger,
  ) {
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = MAX_CONNECTIONS;
  }

  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
  }

  dispose(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: Socket): void {
    const cancellations = new Map<number, Cancellation>();
    this.sockets.add(socket);
    let malformed = 0;
    const messages: JsonLinesConnection = new JsonLinesConnection(socket, (message) => {
      if (this.handle(message, handlers)) return;
      malformed += 1;
      if (malformed >= MAX_MALFORMED_MESSAGES) throw new Error('too many malformed messages');
    });
    const handlers: Handlers = {
      run: ({ id, order }) => {
        const cancellation = new Cancellation();
        cancellations.set(id, cancellation);
        this.stageHandler.runStage(order, cancellation).then(
          (outcome) => {
            cancellations.delete(id);
            messages.send({ id, outcome });
          },
          (error: unknown) => this.logger.error('stage request of a peer failed', { error }),
        );
      },
      cancel: ({ id }) => cancellations.get(id)?.cancel(),
      release: ({ handles }) => this.stageHandler.release(handles),
    };
    socket.on('error', (error) => this.logger.debug('peer connection failed', { error }));
    socket.on('close', () => {
      this.sockets.delete(socket);
      // The peer no longer waits for the results.
      cancellations.forEach((cancellation) => cancellation.cancel());
    });
  }

  /** @returns whether the message was valid */
  private handle(message: unknown, handlers: Handlers): boolean {
    const parsed = ChannelRequest.safeParse(message);
    if (!parsed.success) {
      this.logger.warn('malformed peer message ignored', { reason: parsed.error.message });
      return false;
    }
    const handler = handlers[parsed.data.type] as (value: ChannelRequest) => void;
    handler(parsed.data);
    return true;
  }
}
