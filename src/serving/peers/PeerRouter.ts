/** tRPC router for infrequent calls between serving processes. */
import { initTRPC } from '@trpc/server';
import {
  ConfigurationQuery,
  type ConfigurationSnapshot,
  type RegistrationSnapshot,
} from './PeerMessages.js';

const { router, procedure } = initTRPC.create();

/** Query of an older version. */
const UNCOMPRESSED: ConfigurationQuery = { acceptsGzip: false };

/** Handles the calls of peers. */
export interface PeerCallHandler {
  configuration(query: ConfigurationQuery): Promise<ConfigurationSnapshot | undefined>;
  registrations(): RegistrationSnapshot;
}

/**
 * @param handler - handles the calls
 * @returns router to serve under the tRPC path
 */
export function createPeerRouter(handler: PeerCallHandler) {
  return router({
    configuration: procedure
      .input(ConfigurationQuery.optional())
      .query(({ input = UNCOMPRESSED }) => handler.configuration(input)),
    registrations: procedure.query(() => handler.registrations()),
  });
}

/** Type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
