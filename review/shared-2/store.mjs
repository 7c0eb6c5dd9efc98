/** Stand-in of the platform's metadata store: rows with versions, reads, feeds and transactions. */
import { createServer } from 'node:http';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

const PAGE_ROWS = 500;
const READ_MS = 4;
const WRITE_MS = 8;

const keyOf = ({ table, part = '', key }) => JSON.stringify([table, part, key]);

export class Store {
  rows = new Map();

  version = 0;

  waiters = new Set();

  era = 1;

  /** Whether it turns all calls away with 503. */
  isBusy = false;

  server = createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  async start() {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row as the operator or a worker does. */
  put(table, key, value) {
    this.commit(
      [{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }],
      [],
    );
  }

  remove(table, key) {
    this.commit([], [{ table, part: '', key }]);
  }

  /** Begins or ends a time in which all calls are turned away, also those that wait. */
  setBusy(isBusy) {
    this.isBusy = isBusy;
    [...this.waiters].forEach((wake) => wake());
  }

  commit(puts, removals) {
    this.version += 1;
    puts.forEach(({ table, part = '', key, value }) =>
      this.rows.set(keyOf({ table, part, key }), {
        table,
        part,
        key,
        value,
        row_version: this.version,
      }),
    );
    removals.forEach(({ table, part = '', key }) => {
      if (this.rows.has(keyOf({ table, part, key })))
        this.rows.set(keyOf({ table, part, key }), {
          table,
          part,
          key,
          removed: true,
          row_version: this.version,
        });
    });
    [...this.waiters].forEach((wake) => wake());
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isBusy) this.answer(response, 503, {});
    else if (url.pathname === '/rows-get') {
      await sleep(READ_MS);
      this.answer(response, 200, this.read(query));
    } else if (url.pathname === '/rows-feed') await this.feed(query, response);
    else if (url.pathname === '/rows-tx') {
      await sleep(WRITE_MS);
      const {
        precondition = [],
        put = [],
        remove = [],
      } = JSON.parse(Buffer.concat(chunks).toString());
      const current = precondition.map((row) => this.rows.get(keyOf(row)));
      const holds = precondition.every(
        ({ row_version: wanted }, index) =>
          (current[index]?.removed ? 0 : (current[index]?.row_version ?? 0)) === wanted,
      );
      if (!holds)
        this.answer(response, 412, { rows: current.filter((row) => row && !row.removed) });
      else {
        this.commit(put, remove);
        this.answer(response, 200, {});
      }
    } else this.answer(response, 404, {});
  }

  read(query) {
    const [table, part] = [query.get('table'), query.get('part') ?? ''];
    const [from, to] = [query.get('from'), query.get('to')];
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const found = [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part && !row.removed)
      .filter(({ key }) => (from === null || key >= from) && (to === null || key < to))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { rows: found.slice(0, limit), has_more: found.length > limit };
  }

  async feed(query, response) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    if (after > this.version) {
      this.answer(response, 410, {});
      return;
    }
    const changed = () =>
      [...this.rows.values()]
        .filter((row) => row.table === table && row.row_version > after)
        .sort((left, right) => left.row_version - right.row_version);
    const endsAt = performance.now() + Number(query.get('wait_ms'));
    response.once('close', () => [...this.waiters].forEach((wake) => wake()));
    while (
      changed().length === 0 &&
      performance.now() < endsAt &&
      !response.destroyed &&
      !this.isBusy
    ) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endsAt - performance.now());
        this.waiters.add(wake);
      });
    }
    await sleep(READ_MS);
    if (this.isBusy) this.answer(response, 503, {});
    else this.answer(response, 200, { rows: changed() });
  }

  answer(response, status, body) {
    if (response.destroyed) return;
    response.setHeader('Store-Era', String(this.era));
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(
      JSON.stringify({ ...body, row_version: this.version, now_ms: Math.round(performance.now()) }),
    );
  }
}
