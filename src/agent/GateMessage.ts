/** Messages to the gate's actor and their handlers. */
import type { AttemptStream } from '../common/gate/AttemptStream.js';
import type { Gate } from '../common/gate/Gate.js';
import type { GateEntry } from '../common/gate/GateEntry.js';
import type { ClaimEnd, RunEnd } from '../common/gate/Types.js';
import type { Attempt, AttemptStatus } from '../common/protocol/Attempt.js';
import type { Acknowledgement } from '../common/protocol/Control.js';

type State = AttemptStatus['state'];
/** Callback for the reply to a message. */
export type Reply<T> = (value: T) => void;

/**
 * Messages to the gate. They are handled one at a time, so their order is the order of all state
 * changes of attempts.
 */
export type GateMessage =
  | {
      readonly type: 'submit';
      readonly attempt: Attempt;
      readonly inputDigest: string;
      /** Whether the sender's configuration is too old for new work. */
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
  | { readonly type: 'meter-unacknowledged'; readonly reply: Reply<void> }
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
  acknowledge: (gate, { attempts }) =>
    attempts.forEach((acknowledgement) => gate.acknowledge(acknowledgement)),
  'claim-ended': (gate, { entry, end }) => gate.claimEnded(entry, end),
  'replay-ended': (gate, { entry, output }) => gate.replayEnded(entry, output),
  'run-ended': (gate, { entry, end }) => gate.runEnded(entry, end),
  'claim-settled': (gate, { entry }) => gate.claimSettled(entry),
  'check-deadlines': (gate) => gate.checkDeadlines(),
  'expire-retained': (gate) => gate.expireRetained(),
  'meter-unacknowledged': (gate, { reply }) => reply(gate.meterUnacknowledged()),
  drain: (gate, { reply }) => reply(gate.drain()),
  resume: (gate, { reply }) => reply(gate.resume()),
};

/**
 * Applies a message to the gate.
 * @param gate - gate of the actor
 * @param message - message to handle
 */
export function applyMessage(gate: Gate, message: GateMessage): void {
  HANDLERS[message.type](gate, message as never);
}
