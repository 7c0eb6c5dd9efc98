/** tRPC router for infrequent calls between serving processes. */
import { initTRPC } from '@trpc/server';
import type { ConfigurationCopy, RegistrationCopy } from './PeerMessages.js';

const { router, procedure } = initTRPC.create();

/** Handles the calls of peers. */
export interface PeerService {
  configuration(): ConfigurationCopy | undefined;
  registrations(): RegistrationCopy;
}

/**
 * @param service - handles the calls
 * @returns router to serve under the tRPC path
 */
export function createPeerRouter(service: PeerService) {
  return router({
    configuration: procedure.query(() => service.configuration()),
    registrations: procedure.query(() => service.registrations()),
  });
}

/** Type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
