/** tRPC router of the agent. */
import { initTRPC } from '@trpc/server';
import {
  Acknowledgements,
  AttemptAddress,
  RevisionRange,
  type AgentControl,
} from '../common/protocol/Control.js';
import { Change } from '../common/protocol/Configuration.js';

const { router, procedure } = initTRPC.create();

/**
 * Exposes an agent's control interface.
 * @param control - implementation of the calls
 * @returns router to serve under the tRPC path
 */
export function createAgentRouter(control: AgentControl) {
  return router({
    attempt: router({
      status: procedure.input(AttemptAddress).query(({ input }) => control.status(input.attemptId)),
      void: procedure
        .input(AttemptAddress)
        .mutation(({ input }) => control.voidAttempt(input.attemptId)),
      cancel: procedure
        .input(AttemptAddress)
        .mutation(({ input }) => control.cancel(input.attemptId)),
      acknowledge: procedure
        .input(Acknowledgements)
        .mutation(({ input }) => control.acknowledge(input.attempts)),
    }),
    configuration: router({
      since: procedure
        .input(RevisionRange)
        .query(({ input }) => control.configuration.since(input.after)),
      notify: procedure
        .input(Change.array())
        .mutation(({ input }) => control.configuration.notify(input)),
    }),
    server: router({
      drain: procedure.mutation(() => control.drain()),
      resume: procedure.mutation(() => control.resume()),
      status: procedure.query(() => control.serverStatus()),
    }),
  });
}

/** Type of the agent's router, for typed clients. */
export type AgentRouter = ReturnType<typeof createAgentRouter>;
