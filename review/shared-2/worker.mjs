/** Stand-in of a worker: plain requests, streams and stage calls, as the pages describe them. */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

const hex = (bytes) => randomBytes(bytes).toString('hex');

export class Worker {
  id = `i-${hex(4)}`;

  born = Date.now();

  sequence = 0;

  /** Requests that it began to work on. */
  runs = [];

  /** Pieces that it was asked for. */
  pieces = [];

  running = 0;

  handles = new Set();

  /** Events of a stream and time between two of them, in ms. */
  events = 8;

  gapMs = 20;

  /** Time of a plain request, in ms. */
  workMs = 20;

  constructor({ store, service, zone, version = 'v1', slots = 48, deployment, ...rest }) {
    Object.assign(this, { store, service, zone, version, slots, deployment }, rest);
  }

  async start(state = 'ready') {
    await this.listen();
    this.register(state);
    return this;
  }

  async listen() {
    this.server = createServer(
      { maxHeaderSize: 64 * 1024, keepAliveTimeout: 5000 },
      (request, response) => {
        this.handle(request, response).catch(() => response.destroy());
      },
    );
    this.server.listen(Number(this.address?.split(':')[1] ?? 0), '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  /** Writes its entry; the store acknowledges it at once. */
  register(state) {
    this.state = state;
    this.sequence += 1;
    const { service, address, zone, version, slots, sequence, born } = this;
    this.store.put('servers', this.id, {
      service,
      addr: address,
      zone,
      version,
      slots,
      state,
      cold_left_ms: 0,
      sequence,
      born,
    });
    this.deployment.note(`worker ${this.id} (${service} ${version}) registers as ${state}`);
  }

  /**
   * Starts again under its id and address, and knows nothing of before.
   * @param version - version of its software from then on
   * @param downMs - time until it listens again, in ms
   */
  async restart(version, downMs) {
    this.stop();
    this.deployment.note(`worker ${this.id} (${this.service} ${this.version}) has ended`);
    await sleep(downMs);
    Object.assign(this, { version, born: Date.now(), sequence: 0, running: 0, handles: new Set() });
    await this.listen();
    this.deployment.note(`worker ${this.id} (${this.service} ${this.version}) listens again`);
  }

  /** Leaves for good: its entry is removed. */
  leave() {
    this.stop();
    this.store.remove('servers', this.id);
    this.deployment.note(`worker ${this.id} (${this.service} ${this.version}) has left`);
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const expected = request.headers['citronstage-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Citronstage-Not-Executed': '1' }).end();
      return;
    }
    if (request.url === '/stage-run') await this.runStage(body, response);
    else if (request.url === '/stage-free') {
      JSON.parse(body.toString()).handles.forEach((handle) => this.handles.delete(handle));
      response.writeHead(200, { 'Content-Type': 'application/json' }).end('{}');
    } else if (request.url === '/report' || request.url === '/health') {
      response.writeHead(200, { 'Citronstage-Instance-Id': this.id }).end('{}');
    } else await this.run(request, body, response);
  }

  async runStage(body, response) {
    const { items } = JSON.parse(body.toString());
    this.pieces.push(...items);
    await sleep(this.callMs + items.length * this.itemMs);
    const made = items.map(() => ({ handle: `${this.address}/${hex(6)}` }));
    made.forEach(({ handle }) => this.handles.add(handle));
    const text = JSON.stringify({ items: made });
    response
      .writeHead(200, { 'Content-Type': 'application/json', 'Citronstage-Server-Load': '1,0,1' })
      .end(text);
  }

  async run(request, body, response) {
    const id = request.headers['citronstage-attempt-id'];
    const headers = {
      'Citronstage-Attempt-Id': id,
      'Citronstage-Response-Seal': `${this.id}.${hex(4)}`,
    };
    if (id === undefined || this.running >= this.slots) {
      response
        .writeHead(id === undefined ? 400 : 503, { ...headers, 'Citronstage-Not-Executed': '1' })
        .end();
      return;
    }
    this.running += 1;
    this.runs.push({
      id,
      at: performance.now(),
      url: request.url,
      headers: request.headers,
      body: body.length,
    });
    try {
      if (this.isStreaming) await this.stream(request, response, headers);
      else {
        await sleep(this.workMs);
        response.writeHead(200, headers).end(`done ${id}`);
      }
    } finally {
      this.running -= 1;
    }
  }

  async stream(request, response, headers) {
    const after = Number(request.headers['last-event-id'] ?? 0);
    await sleep(this.firstMs ?? this.gapMs);
    if (response.destroyed) return;
    response.writeHead(200, {
      ...headers,
      'Content-Type': 'text/event-stream',
      'Citronstage-Weight-Versions': '1',
    });
    if (this.crashesOn?.(request)) {
      response.write('id: 1\nda');
      await sleep(5);
      this.onCrash();
      return;
    }
    for (let event = after + 1; event <= this.events; event += 1) {
      response.write(`id: ${event}\ndata: ${event} ${this.version}\n\n`);
      await sleep(this.gapMs);
      if (response.destroyed) return;
    }
    response.end();
  }
}
