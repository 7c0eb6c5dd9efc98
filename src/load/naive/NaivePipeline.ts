import { randomUUID } from 'node:crypto';
import type { CallerResult } from '../../common/protocol/CallerRequest.js';
import type { Stage, Template } from '../../common/protocol/Configuration.js';
import { callBackend, type NaiveOutput } from './NaiveBackend.js';
import type { NaiveSettings } from './NaiveSettings.js';
import { resolveInput } from './ResolveInput.js';

/** Maximum number of retries of a stage, made even if the stage is not idempotent. */
const MAX_RETRIES = 2;

/** Timeout of one attempt of a stage, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 2000;

/** A request to the naive baseline. */
export interface NaiveRequest {
  readonly requestId: string;
  readonly account: string;
  readonly template: Template;
  readonly input: Record<string, unknown>;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
  readonly onChunk: (offset: number, text: string) => void;
}

/** Runs the stages of a request on servers chosen round robin and retries every failed stage. */
export class NaivePipeline {
  private callCount = 0;

  /** @param servers - all backend servers */
  constructor(private readonly servers: NaiveSettings['servers']) {}

  /**
   * Runs all stages of a request in order.
   * @param request - request to run
   * @returns result with output and usage of each stage
   * @throws Error if all attempts of a stage failed or the deadline passed
   */
  async run(request: NaiveRequest): Promise<CallerResult> {
    const deadline = Date.now() + request.timeoutMs;
    const outputs = new Map<string, unknown>([['request', request.input]]);
    const stages: CallerResult['stages'] = [];
    let output: unknown;
    for (const stage of request.template.stages) {
      const stageOutput = await this.runStage(
        request,
        stage,
        resolveInput(stage, outputs),
        deadline,
      );
      outputs.set(stage.name, stageOutput.output);
      stages.push({ stage: stage.name, usage: stageOutput.usage, replayed: false });
      output = stageOutput.output;
    }
    return { requestId: request.requestId, output, stages };
  }

  private async runStage(
    request: NaiveRequest,
    stage: Stage,
    input: unknown,
    deadline: number,
  ): Promise<NaiveOutput> {
    let lastError = new Error('the deadline passed');
    for (let attempt = 0; attempt <= MAX_RETRIES && Date.now() < deadline; attempt += 1) {
      try {
        return await callBackend({
          url: this.nextServer(stage.pool),
          stage,
          input,
          requestId: request.requestId,
          attemptId: randomUUID(),
          account: request.account,
          idempotencyKey: request.idempotencyKey,
          timeoutMs: Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadline - Date.now())),
          onChunk: request.onChunk,
        });
      } catch (error) {
        lastError = error instanceof Error ? error : new Error(String(error));
      }
    }
    throw lastError;
  }

  private nextServer(pool: string): string {
    const servers = this.servers.filter((server) => server.pool === pool);
    this.callCount += 1;
    const server = servers[this.callCount % servers.length];
    if (!server) throw new Error(`no server in pool ${pool}`);
    return server.url;
  }
}
