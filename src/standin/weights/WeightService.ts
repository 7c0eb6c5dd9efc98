import type { ServerResponse } from 'node:http';
import type { Call } from '../http/Call.js';
import type { FaultState } from '../FaultState.js';
import type { Counter, Route, Service } from '../Types.js';

const WEIGHT_PREFIX = '/weights/';
const TICK_MS = 20;
const MS_PER_SECOND = 1000;
const BLOCK = Buffer.alloc(65_536);

/** Options of {@link WeightService}. */
export interface WeightOptions {
  /** Size of every model, in bytes. */
  readonly modelBytes: number;
  /** Rate of all downloads together. */
  readonly bytesPerSecond: number;
}

interface Download {
  readonly response: ServerResponse;
  /** Bytes still to send. */
  left: number;
}

/** Stand-in of the platform's weight store: `GET /weights/{name}` at a limited rate. */
export class WeightService implements Service {
  readonly controlRoutes = {};

  private readonly downloads = new Set<Download>();

  private readonly counts = { downloads: 0, bytes: 0 };

  private timer: NodeJS.Timeout | undefined;

  private readonly downloadRoute: Route = {
    hasEffect: false,
    handle: (call) => this.start(call),
  };

  constructor(
    private readonly options: WeightOptions,
    private readonly state: FaultState,
  ) {}

  route(method: string, path: string): Route | undefined {
    return method === 'GET' && path.startsWith(WEIGHT_PREFIX) ? this.downloadRoute : undefined;
  }

  counters(): Record<string, Counter> {
    return { ...this.counts };
  }

  runs(): [] {
    return [];
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  private start(call: Call): undefined {
    const { modelBytes } = this.options;
    const { isTruncated } = call.responseFault;
    const download = { response: call.response, left: isTruncated ? modelBytes / 2 : modelBytes };
    this.counts.downloads += 1;
    call.response.writeHead(200, { 'content-length': modelBytes });
    call.response.once('close', () => this.downloads.delete(download));
    this.downloads.add(download);
    this.timer ??= setInterval(() => this.sendShares(), TICK_MS);
  }

  /** Sends each download its equal share of the bytes allowed per tick. */
  private sendShares(): void {
    const rate = this.options.bytesPerSecond / this.state.faults.slowFactor;
    const share = Math.ceil((rate * TICK_MS) / MS_PER_SECOND / Math.max(1, this.downloads.size));
    this.downloads.forEach((download) => this.sendShare(download, share));
    if (this.downloads.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private sendShare(download: Download, share: number): void {
    const target = download;
    let budget = Math.min(share, download.left);
    target.left -= budget;
    this.counts.bytes += budget;
    for (; budget > 0; budget -= BLOCK.length) {
      download.response.write(BLOCK.subarray(0, Math.min(budget, BLOCK.length)));
    }
    if (download.left > 0) return;
    this.downloads.delete(download);
    download.response.end();
  }
}
