import type { RunResult } from '../../common/attempts/Types.js';
import type { Clock } from '../../common/time/Types.js';
import type { Usage } from '../../common/protocol/Usage.js';
import type { Backend, BackendCall } from '../Types.js';
import { BackendClient, type BackendError, type BackendResult } from './BackendClient.js';
import { STAGE_HANDLERS } from './StageHandlers.js';
import type { StageOutput } from './Types.js';

const FIRST_SERVER_ERROR_STATUS = 500;

/** Runs attempts on a backend server over HTTP. */
export class HttpBackend implements Backend {
  private readonly client: BackendClient;

  /**
   * @param baseUrl - URL of the backend server
   * @param clock - measures the busy time that the server does not report
   */
  constructor(
    baseUrl: string,
    private readonly clock: Clock,
  ) {
    this.client = new BackendClient(baseUrl);
  }

  async run(call: BackendCall): Promise<RunResult> {
    const startedAt = this.clock.now();
    const result = await this.callHandler(call);
    const busyMs = this.clock.now() - startedAt;
    if (!result.ok) {
      return runResultOfError(result.error, call, usageOfError(result.error, call, busyMs));
    }
    const { output, usage } = result.value;
    return {
      kind: 'done',
      output: JSON.stringify(output),
      usage: { acceleratorMs: busyMs, tokensIn: 0, tokensOut: 0, calls: 1, ...usage },
    };
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.client.close();
  }

  private async callHandler(call: BackendCall): Promise<BackendResult<StageOutput>> {
    try {
      return await STAGE_HANDLERS[call.attempt.kind](call, this.client);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      return { ok: false, error: { kind: 'malformed', message } };
    }
  }
}

/**
 * A call with an error status is assumed to have used no accelerator time; after other errors the
 * elapsed time counts.
 */
function usageOfError(error: BackendError, call: BackendCall, busyMs: number): Usage {
  const acceleratorMs = error.kind === 'status' ? 0 : busyMs;
  const reported = 'usage' in error ? error.usage : undefined;
  return { acceleratorMs, tokensIn: 0, tokensOut: call.nextOffset(), calls: 1, ...reported };
}

/**
 * After a server error (5xx) it is unknown whether the work was done, and so is the outcome of a
 * non-idempotent call. A client error (4xx) means that the server declined the call.
 */
function runResultOfError(error: BackendError, call: BackendCall, usage: Usage): RunResult {
  const { message } = error;
  if (error.kind === 'unreachable') return { kind: 'unreachable', message };
  const isDeclined = error.kind === 'status' && error.status < FIRST_SERVER_ERROR_STATUS;
  const isCertain = call.attempt.idempotent ? error.kind !== 'lost' : isDeclined;
  return { kind: isCertain ? 'failed' : 'lost', message, usage };
}
