/** tRPC router of the entry, called by other processes of the system. */
import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { RevisionRange, type EntryControl } from '../common/protocol/Control.js';
import { Change } from '../common/protocol/Configuration.js';

const { router, procedure } = initTRPC.create();

/**
 * Creates the tRPC router for the control interface of an entry.
 * @param control - implementation of the calls
 * @returns router to serve under the tRPC path
 */
export function createEntryRouter(control: EntryControl) {
  return router({
    configuration: router({
      since: procedure
        .input(RevisionRange)
        .query(({ input }) => control.configuration.since(input.after)),
      notify: procedure
        .input(Change.array())
        .mutation(({ input }) => control.configuration.notify(input)),
    }),
    explanation: router({
      get: procedure
        .input(z.object({ requestId: z.string() }))
        .query(({ input }) => control.explanation(input.requestId)),
    }),
    status: router({ get: procedure.query(() => control.status()) }),
  });
}

/** Type of the entry's router, for typed clients. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;
