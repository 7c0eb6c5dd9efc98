/** Types shared by the backend handlers. */
import type { Usage } from '../../common/protocol/Usage.js';
import type { BackendCall } from '../Types.js';
import type { BackendClient, BackendResult } from './BackendClient.js';

/** Output of a stage and usage as far as the backend server reports it. */
export interface StageOutput {
  readonly output: unknown;
  readonly usage: Partial<Usage>;
}

/** Carries out an attempt of one kind. Throws a zod error if input or answer have a wrong shape. */
export type StageHandler = (
  call: BackendCall,
  client: BackendClient,
) => Promise<BackendResult<StageOutput>>;
