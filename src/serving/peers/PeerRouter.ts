/** tRPC router for infrequent calls between serving processes. */
import { initTRPC } from '@trpc/server';
import type { ConfigurationSnapshot, RegistrationSnapshot } from './PeerMessages.js';

const { router, procedure } = initTRPC.create();

/** Handles the calls of peers. */
export interface PeerCallHandler {
  configuration(): ConfigurationSnapshot | undefined;
  registrations(): RegistrationSnapshot;
}

/**
 * @param handler - handles the calls
 * @returns router to serve under the tRPC path
 */
export function createPeerRouter(handler: PeerCallHandler) {
  return router({
    configuration: procedure.query(() => handler.configuration()),
    registrations: procedure.query(() => handler.registrations()),
  });
}

/** Type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
