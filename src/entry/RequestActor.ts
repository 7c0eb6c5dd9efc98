/** Executes the pipeline of each request in an actor. */
import { dispatch, spawn, stop, type ActorSystemRef, type Ref } from 'nact';
import type { RequestOutcome } from '../common/protocol/CallerError.js';
import type { PipelinePlan } from '../common/pipeline/PipelinePlan.js';
import { createScope, resolveStageInput } from '../common/pipeline/StageInput.js';
import type {
  Failure,
  RequestContext,
  RequestEnd,
  StageEnd,
  StageExecutor,
  StageResult,
} from './Types.js';

/** A validated request and the plan of its stages. */
export interface AdmittedRequest {
  readonly context: RequestContext;
  readonly plan: PipelinePlan;
  readonly input: Readonly<Record<string, unknown>>;
  /** Called with each chunk that the last stage generates. */
  readonly onChunk: (offset: number, text: string) => void;
}

type Message =
  { readonly type: 'start' } | { readonly type: 'stage-ended'; readonly end: StageEnd };

/** Values that stage inputs refer to, and the results of finished stages. */
interface State {
  readonly scope: Map<string, unknown>;
  readonly results: StageResult[];
}

type Handlers = {
  readonly [T in Message['type']]: (
    state: State,
    message: Extract<Message, { type: T }>,
    self: Ref<Message>,
  ) => void;
};

/**
 * Spawns an actor that runs the stages of a request in order.
 * @param system - actor system of the entry
 * @param request - admitted request
 * @param executor - runs one stage at a time
 * @returns the output, or the failure of the first stage that failed
 */
export function executeRequest(
  system: ActorSystemRef,
  request: AdmittedRequest,
  executor: StageExecutor,
): Promise<RequestEnd> {
  return new Promise((resolve) => {
    const handlers = createHandlers(request, executor, resolve);
    const initialState: State = { scope: createScope(request.input), results: [] };
    const actor = spawn(
      system,
      (state: State, message: Message, { self }) => {
        const handle = handlers[message.type] as (s: State, m: Message, ref: Ref<Message>) => void;
        handle(state, message, self);
        return state;
      },
      request.context.requestId,
      { initialState },
    );
    dispatch(actor, { type: 'start' });
  });
}

function createHandlers(
  request: AdmittedRequest,
  executor: StageExecutor,
  resolve: (end: RequestEnd) => void,
): Handlers {
  const { context, plan } = request;
  const finish = (self: Ref<Message>, end: RequestEnd) => {
    resolve(end);
    stop(self);
  };
  const runNextStage = (state: State, self: Ref<Message>) => {
    const stageIndex = state.results.length;
    const stage = plan.stages[stageIndex]!;
    const isLast = stageIndex === plan.stages.length - 1;
    const input = resolveStageInput(stage, state.scope);
    const onChunk = isLast ? request.onChunk : () => undefined;
    runCatchingErrors(executor, { context, stage, input, onChunk })
      .then((end) => dispatch(self, { type: 'stage-ended', end }))
      .catch(() => undefined);
  };
  return {
    start: (state, _message, self) => runNextStage(state, self),
    'stage-ended': (state, { end }, self) => {
      if (!end.ok) {
        const failure = adjustForEarlierStages(end.failure, state.results.length);
        finish(self, { ok: false, failure });
        return;
      }
      state.results.push(end.result);
      state.scope.set(end.result.stage, end.result.output);
      if (state.results.length < plan.stages.length) {
        runNextStage(state, self);
        return;
      }
      finish(self, { ok: true, output: end.result.output, stages: state.results });
    },
  };
}

/**
 * Turns an exception, which is a bug in the entry, into a failure. Whether the stage ran is unknown
 * then, so a non-idempotent stage gets the outcome `unknown`.
 */
async function runCatchingErrors(
  executor: StageExecutor,
  task: Parameters<StageExecutor['run']>[0],
): Promise<StageEnd> {
  try {
    return await executor.run(task);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const outcome: RequestOutcome = task.stage.idempotent ? 'ran' : 'unknown';
    const message = `internal error in stage "${task.stage.name}": ${reason}`;
    return { ok: false, failure: { kind: 'stage-failed', message, outcome } };
  }
}

/**
 * Adjusts a stage's failure to the request. If earlier stages ran, the request has run too, and an
 * invalid input is not the caller's error, because it was built from their outputs.
 */
function adjustForEarlierStages(failure: Failure, finishedStageCount: number): Failure {
  if (finishedStageCount === 0) return failure;
  const kind = failure.kind === 'bad-request' ? 'stage-failed' : failure.kind;
  return { ...failure, kind, outcome: failure.outcome === 'not-run' ? 'ran' : failure.outcome };
}
