import { dispatch, spawn, start, stop, type Ref } from 'nact';
import type { Gate } from '../common/gate/Gate.js';
import type { GateEffect } from '../common/gate/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { applyMessage, type GateMessage, type Reply } from './GateMessage.js';

/** Executes an effect of the gate. */
export type EffectHandler = (effect: GateEffect) => void;

/** Actor that owns the gate of a backend server: its messages serialize all changes to the gate. */
export class GateActor {
  private readonly system = start();

  private readonly reference: Ref<GateMessage>;

  private stopped = false;

  /**
   * @param gate - gate, changed by this actor only
   * @param onEffect - executes the effects of each message, in order
   * @param logger - logs errors of message handlers
   */
  constructor(
    private readonly gate: Gate,
    private readonly onEffect: EffectHandler,
    logger: Logger,
  ) {
    this.reference = spawn(
      this.system,
      (_state: undefined, message: GateMessage) => {
        this.handle(message);
        return undefined;
      },
      'gate',
      {
        onCrash: (message, error, supervision) => {
          logger.error('gate message failed', { type: message?.type, error });
          return supervision.resume;
        },
      },
    );
  }

  /**
   * Sends a message. Messages are handled in the order in which they were sent.
   * @param message - message to the gate; ignored after {@link dispose}
   */
  send(message: GateMessage): void {
    if (!this.stopped) dispatch(this.reference, message);
  }

  /**
   * Sends a message and waits for its reply.
   * @param create - creates the message with the reply callback
   * @returns the reply; stays pending after {@link dispose}
   */
  ask<T>(create: (reply: Reply<T>) => GateMessage): Promise<T> {
    return new Promise((resolve) => {
      this.send(create(resolve));
    });
  }

  /** Stops the actor; later messages are ignored. */
  dispose(): void {
    this.stopped = true;
    stop(this.system);
  }

  private handle(message: GateMessage): void {
    try {
      applyMessage(this.gate, message);
    } finally {
      this.gate.takeEffects().forEach((effect) => this.onEffect(effect));
    }
  }
}
