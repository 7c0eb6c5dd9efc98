import { dispatch, spawn, start, stop, type Ref } from 'nact';
import type { Gate } from '../common/gate/Gate.js';
import type { GateEffect } from '../common/gate/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { applyMessage, type GateMessage, type Reply } from './GateMessage.js';

/** Carries out effects of the gate. */
export type EffectHandler = (effect: GateEffect) => void;

/** The one actor that owns the gate of a backend server. */
export class GateActor {
  private readonly system = start();

  private readonly reference: Ref<GateMessage>;

  private stopped = false;

  /**
   * @param gate - state, used by this actor only
   * @param onEffect - carries out effects, in order, after each message
   * @param logger - gets errors of handlers
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

  /** @param message - handled after those sent before */
  send(message: GateMessage): void {
    if (!this.stopped) dispatch(this.reference, message);
  }

  /**
   * Sends a message and waits for its reply.
   * @param create - builds the message around the reply function
   */
  ask<T>(create: (reply: Reply<T>) => GateMessage): Promise<T> {
    return new Promise((resolve) => {
      this.send(create(resolve));
    });
  }

  /** Handles no more messages. */
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
