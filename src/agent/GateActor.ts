import { dispatch, spawn, start, stop, type Ref } from 'nact';
import type { AttemptStream } from '../common/gate/AttemptStream.js';
import type { Gate } from '../common/gate/Gate.js';
import type { GateEntry } from '../common/gate/GateEntry.js';
import type { ClaimEnd, GateEffect, RunEnd } from '../common/gate/Types.js';
import type { Attempt, AttemptStatus } from '../common/protocol/Attempt.js';
import type { Acknowledgement } from '../common/protocol/Control.js';
import type { Logger } from '../telemetry/Logger.js';

type State = AttemptStatus['state'];
type Reply<T> = (value: T) => void;

/** Messages to the gate. Their order is the order of everything that happens to attempts. */
export type GateMessage =
  | {
      readonly type: 'submit';
      readonly attempt: Attempt;
      readonly inputDigest: string;
      readonly stale: boolean;
      readonly reply: Reply<AttemptStream>;
    }
  | { readonly type: 'void'; readonly attemptId: string; readonly reply: Reply<State> }
  | { readonly type: 'cancel'; readonly attemptId: string; readonly reply: Reply<State> }
  | { readonly type: 'status'; readonly attemptId: string; readonly reply: Reply<State> }
  | { readonly type: 'acknowledge'; readonly attempts: readonly Acknowledgement[] }
  | { readonly type: 'claim-ended'; readonly entry: GateEntry; readonly end: ClaimEnd }
  | { readonly type: 'replay-ended'; readonly entry: GateEntry; readonly output: string | null }
  | { readonly type: 'run-ended'; readonly entry: GateEntry; readonly end: RunEnd }
  | { readonly type: 'claim-settled'; readonly entry: GateEntry }
  | { readonly type: 'check-deadlines' }
  | { readonly type: 'expire-retained' }
  | { readonly type: 'meter-unacknowledged' }
  | { readonly type: 'drain'; readonly reply: Reply<void> }
  | { readonly type: 'resume'; readonly reply: Reply<void> };

type Handlers = {
  readonly [T in GateMessage['type']]: (
    gate: Gate,
    message: Extract<GateMessage, { type: T }>,
  ) => void;
};

const HANDLERS: Handlers = {
  submit: (gate, { attempt, inputDigest, stale, reply }) =>
    reply(gate.submit(attempt, inputDigest, stale)),
  void: (gate, { attemptId, reply }) => reply(gate.voidAttempt(attemptId)),
  cancel: (gate, { attemptId, reply }) => reply(gate.cancel(attemptId)),
  status: (gate, { attemptId, reply }) => reply(gate.status(attemptId)),
  acknowledge: (gate, { attempts }) => attempts.forEach((each) => gate.acknowledge(each)),
  'claim-ended': (gate, { entry, end }) => gate.claimEnded(entry, end),
  'replay-ended': (gate, { entry, output }) => gate.replayEnded(entry, output),
  'run-ended': (gate, { entry, end }) => gate.runEnded(entry, end),
  'claim-settled': (gate, { entry }) => gate.claimSettled(entry),
  'check-deadlines': (gate) => gate.checkDeadlines(),
  'expire-retained': (gate) => gate.expireRetained(),
  'meter-unacknowledged': (gate) => gate.meterUnacknowledged(),
  drain: (gate, { reply }) => reply(gate.drain()),
  resume: (gate, { reply }) => reply(gate.resume()),
};

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
      HANDLERS[message.type](this.gate, message as never);
    } finally {
      this.gate.takeEffects().forEach((effect) => this.onEffect(effect));
    }
  }
}
