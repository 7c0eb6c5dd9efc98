/** tRPC router by which serving processes call each other. */
import { initTRPC } from '@trpc/server';
import type { TaskOutcome } from '../../common/serving/StageQueue.js';
import { ReleaseOrder, StageOrder, type ConfigurationCopy } from './PeerMessages.js';

const { router, procedure } = initTRPC.create();

/** What carries out the calls of peers. */
export interface PeerService {
  runStage(order: StageOrder, signal: AbortSignal): Promise<TaskOutcome>;
  release(handles: readonly string[]): void;
  configuration(): ConfigurationCopy | undefined;
}

/**
 * @param service - what carries out the calls
 * @returns router to serve under the tRPC path
 */
export function createPeerRouter(service: PeerService) {
  return router({
    runStage: procedure
      .input(StageOrder)
      .mutation(({ input, signal }) =>
        service.runStage(input, signal ?? new AbortController().signal),
      ),
    release: procedure.input(ReleaseOrder).mutation(({ input }) => service.release(input.handles)),
    configuration: procedure.query(() => service.configuration()),
  });
}

/** Type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
