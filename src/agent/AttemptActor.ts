import { dispatch, spawn, start, stop, type Ref } from 'nact';
import type { AttemptStateMachine } from '../common/attempts/AttemptStateMachine.js';
import type { AttemptEffect } from '../common/attempts/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { applyMessage, type AttemptMessage, type Reply } from './AttemptMessage.js';

/** Executes an effect of the attempt state machine. */
export type EffectHandler = (effect: AttemptEffect) => void;

/** Actor that owns the attempt state machine of a backend server and serializes its changes. */
export class AttemptActor {
  private readonly system = start();

  private readonly reference: Ref<AttemptMessage>;

  private stopped = false;

  /**
   * @param stateMachine - attempt state machine, changed by this actor only
   * @param onEffect - executes the effects of each message, in order
   * @param logger - logs errors of message handlers
   */
  constructor(
    private readonly stateMachine: AttemptStateMachine,
    private readonly onEffect: EffectHandler,
    logger: Logger,
  ) {
    this.reference = spawn(
      this.system,
      (_state: undefined, message: AttemptMessage) => {
        this.handle(message);
        return undefined;
      },
      'attempts',
      {
        onCrash: (message, error, supervision) => {
          logger.error('attempt message failed', { type: message?.type, error });
          return supervision.resume;
        },
      },
    );
  }

  /**
   * Sends a message. Messages are handled in the order in which they were sent.
   * @param message - message to the attempt state machine; ignored after {@link dispose}
   */
  send(message: AttemptMessage): void {
    if (!this.stopped) dispatch(this.reference, message);
  }

  /**
   * Sends a message and waits for its reply.
   * @param create - creates the message with the reply callback
   * @returns the reply; stays pending after {@link dispose}
   */
  ask<T>(create: (reply: Reply<T>) => AttemptMessage): Promise<T> {
    return new Promise((resolve) => {
      this.send(create(resolve));
    });
  }

  /** Stops the actor; later messages are ignored. */
  dispose(): void {
    this.stopped = true;
    stop(this.system);
  }

  private handle(message: AttemptMessage): void {
    try {
      applyMessage(this.stateMachine, message);
    } finally {
      this.stateMachine.dequeueEffects().forEach((effect) => this.onEffect(effect));
    }
  }
}
