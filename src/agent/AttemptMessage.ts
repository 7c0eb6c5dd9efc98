/** Messages to the attempt actor and their handlers. */
import type { AttemptOutput } from '../common/attempts/AttemptOutput.js';
import type { AttemptStateMachine } from '../common/attempts/AttemptStateMachine.js';
import type { AttemptRecord } from '../common/attempts/AttemptRecord.js';
import type { ClaimResult, RunResult } from '../common/attempts/Types.js';
import type { Attempt, AttemptStatus } from '../common/protocol/Attempt.js';
import type { Acknowledgement } from '../common/protocol/Control.js';

type State = AttemptStatus['state'];
/** Callback for the reply to a message. */
export type Reply<T> = (value: T) => void;

/**
 * Messages to the attempt state machine. They are handled one at a time, so their order is the order
 * of all state changes of attempts.
 */
export type AttemptMessage =
  | {
      readonly type: 'submit';
      readonly attempt: Attempt;
      readonly inputDigest: string;
      /** Whether the sender's configuration is too old for new work. */
      readonly stale: boolean;
      readonly reply: Reply<AttemptOutput>;
    }
  | { readonly type: 'void'; readonly attemptId: string; readonly reply: Reply<State> }
  | { readonly type: 'cancel'; readonly attemptId: string; readonly reply: Reply<State> }
  | { readonly type: 'status'; readonly attemptId: string; readonly reply: Reply<State> }
  | { readonly type: 'acknowledge'; readonly attempts: readonly Acknowledgement[] }
  | { readonly type: 'claim-ended'; readonly record: AttemptRecord; readonly end: ClaimResult }
  | {
      readonly type: 'replay-ended';
      readonly record: AttemptRecord;
      readonly output: string | null;
    }
  | { readonly type: 'run-ended'; readonly record: AttemptRecord; readonly end: RunResult }
  | { readonly type: 'claim-settled'; readonly record: AttemptRecord }
  | { readonly type: 'check-deadlines' }
  | { readonly type: 'expire-retained' }
  | { readonly type: 'meter-unacknowledged'; readonly reply: Reply<void> }
  | { readonly type: 'drain'; readonly reply: Reply<void> }
  | { readonly type: 'resume'; readonly reply: Reply<void> };

type Handlers = {
  readonly [T in AttemptMessage['type']]: (
    stateMachine: AttemptStateMachine,
    message: Extract<AttemptMessage, { type: T }>,
  ) => void;
};

const HANDLERS: Handlers = {
  submit: (stateMachine, { attempt, inputDigest, stale, reply }) =>
    reply(stateMachine.submit(attempt, inputDigest, stale)),
  void: (stateMachine, { attemptId, reply }) => reply(stateMachine.voidAttempt(attemptId)),
  cancel: (stateMachine, { attemptId, reply }) => reply(stateMachine.cancel(attemptId)),
  status: (stateMachine, { attemptId, reply }) => reply(stateMachine.status(attemptId)),
  acknowledge: (stateMachine, { attempts }) =>
    attempts.forEach((acknowledgement) => stateMachine.acknowledge(acknowledgement)),
  'claim-ended': (stateMachine, { record, end }) => stateMachine.claimEnded(record, end),
  'replay-ended': (stateMachine, { record, output }) => stateMachine.replayEnded(record, output),
  'run-ended': (stateMachine, { record, end }) => stateMachine.runEnded(record, end),
  'claim-settled': (stateMachine, { record }) => stateMachine.claimSettled(record),
  'check-deadlines': (stateMachine) => stateMachine.checkDeadlines(),
  'expire-retained': (stateMachine) => stateMachine.expireRetained(),
  'meter-unacknowledged': (stateMachine, { reply }) => reply(stateMachine.meterUnacknowledged()),
  drain: (stateMachine, { reply }) => reply(stateMachine.drain()),
  resume: (stateMachine, { reply }) => reply(stateMachine.resume()),
};

/**
 * Applies a message to the attempt state machine.
 * @param stateMachine - state machine of the actor
 * @param message - message to handle
 */
export function applyMessage(stateMachine: AttemptStateMachine, message: AttemptMessage): void {
  HANDLERS[message.type](stateMachine, message as never);
}
