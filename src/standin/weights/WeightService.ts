import type { ServerResponse } from 'node:http';
import type { Call } from '../http/Call.js';
import type { FaultState } from '../FaultState.js';
import type { Counter, Route, Service } from '../Types.js';

const WEIGHT_PREFIX = '/weights/';
const SEND_INTERVAL_MS = 20;
const MS_PER_SECOND = 1000;
const BLOCK = Buffer.alloc(65_536);

/** Options of {@link WeightService}. */
export interface WeightOptions {
  /** Size of each model, in bytes. */
  readonly modelBytes: number;
  /** Total rate of all downloads, in bytes per second. */
  readonly bytesPerSecond: number;
}

interface Download {
  readonly response: ServerResponse;
  /** Bytes that are not sent yet. */
  remainingBytes: number;
}

/** Stand-in for the platform's weight store. Serves `GET /weights/{name}` at a limited rate. */
export class WeightService implements Service {
  readonly controlRoutes = {};

  private readonly downloads = new Set<Download>();

  private readonly counts = { downloads: 0, bytes: 0 };

  private timer: NodeJS.Timeout | undefined;

  private readonly downloadRoute: Route = {
    hasEffect: false,
    handle: (call) => this.startDownload(call),
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

  private startDownload(call: Call): undefined {
    const { modelBytes } = this.options;
    const { isTruncated } = call.responseFault;
    const download = {
      response: call.response,
      remainingBytes: isTruncated ? modelBytes / 2 : modelBytes,
    };
    this.counts.downloads += 1;
    call.response.writeHead(200, { 'content-length': modelBytes });
    call.response.once('close', () => this.downloads.delete(download));
    this.downloads.add(download);
    this.timer ??= setInterval(() => this.sendNextBytes(), SEND_INTERVAL_MS);
  }

  /** Divides the bytes allowed per interval equally among the downloads and sends them. */
  private sendNextBytes(): void {
    const rate = this.options.bytesPerSecond / this.state.faults.slowFactor;
    const shareBytes = Math.ceil(
      (rate * SEND_INTERVAL_MS) / MS_PER_SECOND / Math.max(1, this.downloads.size),
    );
    this.downloads.forEach((download) => this.sendTo(download, shareBytes));
    if (this.downloads.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private sendTo(download: Download, shareBytes: number): void {
    const target = download;
    let pendingBytes = Math.min(shareBytes, download.remainingBytes);
    target.remainingBytes -= pendingBytes;
    this.counts.bytes += pendingBytes;
    for (; pendingBytes > 0; pendingBytes -= BLOCK.length) {
      download.response.write(BLOCK.subarray(0, Math.min(pendingBytes, BLOCK.length)));
    }
    if (download.remainingBytes > 0) return;
    this.downloads.delete(download);
    download.response.end();
  }
}
