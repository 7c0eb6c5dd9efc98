import { request, type Dispatcher } from 'undici';
import { MAX_BODY_BYTES, readBoundedText } from '../../common/BoundedBody.js';
import { PAYLOAD_BOUNDS, parseJson } from '../../common/json/BoundedJson.js';
import { OrderState, type Order } from '../../common/protocol/Backend.js';
import type { OrderTarget } from './Types.js';

const ORDER_PATH = '/v1/orders';
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

/** Reads the state of a model engine and sends it orders over HTTP. */
export class HttpOrderTarget implements OrderTarget {
  private readonly url: string;

  /** @param baseUrl - URL of the engine */
  constructor(baseUrl: string) {
    this.url = `${baseUrl.replace(/\/$/, '')}${ORDER_PATH}`;
  }

  async read(timeoutMs: number): Promise<OrderState | null> {
    const response = await this.call({ method: 'GET' }, timeoutMs);
    if (response?.status !== STATUS_OK) return null;
    const parsed = OrderState.safeParse(response.body);
    return parsed.success ? parsed.data : null;
  }

  async apply(order: Order, timeoutMs: number): Promise<'applied' | 'rejected' | 'failed'> {
    const headers = { 'content-type': 'application/json' };
    const call = { method: 'POST', headers, body: JSON.stringify(order) } as const;
    const response = await this.call(call, timeoutMs);
    if (response?.status === STATUS_OK) return 'applied';
    return response?.status === STATUS_CONFLICT ? 'rejected' : 'failed';
  }

  private async call(
    options: Partial<Dispatcher.RequestOptions>,
    timeoutMs: number,
  ): Promise<{ status: number; body: unknown } | null> {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const response = await request(this.url, { ...options, signal });
      const text = await readBoundedText(response.body, MAX_BODY_BYTES);
      return { status: response.statusCode, body: parseJson(text, PAYLOAD_BOUNDS) };
    } catch {
      return null;
    }
  }
}
