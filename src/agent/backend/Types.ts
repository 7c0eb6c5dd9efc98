/** Types shared by the backend handlers. */
import type { Usage } from '../../common/protocol/Usage.js';
import type { BackendCall } from '../Types.js';
import type { BackendClient, BackendResult } from './BackendClient.js';

/** Output of a stage, with the usage fields that the backend server reports. */
export interface StageOutput {
  readonly output: unknown;
  readonly usage: Partial<Usage>;
}

/**
 * Runs an attempt of one stage kind.
 * @throws ZodError if the input or the response has the wrong shape
 */
export type StageHandler = (
  call: BackendCall,
  client: BackendClient,
) => Promise<BackendResult<StageOutput>>;
