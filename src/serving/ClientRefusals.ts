import type { Counter } from '@opentelemetry/api';
import { RefusalLog } from '../common/requests/RefusalLog.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Metrics } from '../telemetry/Metrics.js';

/** Why a request of a client was refused or its connection closed. */
export type ClientRefusalReason =
  | 'body-size'
  | 'body-framing'
  | 'body-memory'
  | 'body-rate'
  | 'body-stalled'
  | 'running-memory'
  | 'response-memory'
  | 'response-rate'
  | 'response-stalled'
  | 'pipelining'
  | 'connections';

/** Counts and logs refusals of clients that exceed a limit. */
export class ClientRefusals {
  private readonly log: RefusalLog;

  private readonly counter: Counter;

  /**
   * @param clock - time source
   * @param logger - logs one line for each address in a minute
   * @param metrics - metrics of the process
   */
  constructor(
    clock: Clock,
    private readonly logger: Logger,
    { meter }: Metrics,
  ) {
    this.log = new RefusalLog(clock);
    this.counter = meter.createCounter('client_refusals', {
      description: 'Requests refused and connections closed because of their client, by reason',
    });
  }

  /**
   * @param address - address of the client
   * @param reason - limit that it exceeded
   */
  record(address: string, reason: ClientRefusalReason): void {
    this.counter.add(1, { reason });
    const counts = this.log.record(address, reason);
    if (counts) this.logger.warn('client refused', { client: address, counts });
  }
}
