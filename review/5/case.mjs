/**
 * A prompt part that crashes servers, in requests that several callers send at the same moment, as
 * when a group starts to use a template, each caller with a subject of its own. Counts the requests with the part that reach servers later
 * than contact_ms after the fifth crash.
 */
import { BOUNDS, Connection, StreamWorker, Store, hasTrouble, runCase, sleep, startFronts } from '../common/harness.mjs';

const FRONTS = 2;
const MODEL_SERVERS = 10;
const LOAD_S = 30;
const GROUP_AT_S = [4, 10, 16];
const GROUP_SIZE = 8;
const SOUND_PER_S = 30;
const DOWN_MS = 3000;
const TIMEOUT_MS = 6000;
const KEY = 'key-of-the-tenant';
const BAD_PART = 'bad0bad0';

await runCase(import.meta.url, async ({ record, folder, onEnd, endFronts }) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  store.put('op', 'config', {
    version: 3,
    routes: [
      {
        name: 'plan-draft', host: 'plan.example', prefix: '/plan/', kind: 'streaming', timeout_ms: TIMEOUT_MS,
        target_latency_ms: 1400, priority: 1, service: 'citron-pool', attempts: 1, public: false,
        sticky: true, resumable: false, max_gap_ms: 150,
      },
    ],
    services: [
      { name: 'citron-pool', health_path: '/health', max_conns: 290, protocol: 'h1', tls: false, engine: { slots: 48, kv_tokens: 613959 } },
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'weaver', api_keys: [KEY], priority: 1 }],
  });

  const crashes = [];
  /** Requests with the part that reached a server: `{ id, server, at }`. */
  const reached = [];
  class Model extends StreamWorker {
    async handle(request, response, body, attemptId) {
      const parts = String(request.headers['citronstage-prompt-prefix']).split(',').map((part) => part.split(':')[0]);
      if (!parts.slice(0, -1).includes(BAD_PART)) {
        await super.handle(request, response, body, attemptId);
        return;
      }
      reached.push({ id: attemptId, server: this.id, at: performance.now() });
      record.line(`${this.id}: runs ${attemptId}, which has the part`);
      await sleep(this.firstMs);
      if (!this.isUp) return;
      response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Citronstage-Response-Seal': `${this.id}.${attemptId}` });
      response.write('id: 1\nda');
      await sleep(5);
      if (this.isUp) this.crash();
    }

    crash() {
      this.isUp = false;
      crashes.push(performance.now());
      record.line(`${this.id}: crashes (crash ${crashes.length})`);
      this.stop();
      setTimeout(async () => {
        this.born = Date.now();
        this.sequence = 0;
        await this.start(this.port);
        this.isUp = true;
        record.line(`${this.id}: is back`);
      }, DOWN_MS);
    }
  }
  const servers = Array.from({ length: MODEL_SERVERS }, (_, index) => {
    const server = new Model({ store, id: `i-model${index + 1}`, service: 'citron-pool', slots: 48 });
    return Object.assign(server, { isUp: true, firstMs: 120, events: 17, gapMs: 20 });
  });
  await Promise.all(servers.map((server) => server.start()));
  onEnd(() => servers.forEach((server) => server.stop()));
  const fronts = await startFronts({ count: FRONTS, store, folder, record, endFronts });
  await sleep(1500);

  const startedAt = performance.now();
  const sentAt = new Map();
  const statuses = { sound: {}, bad: {} };
  let count = 0;
  const request = async (kind, subject) => {
    count += 1;
    const id = `a${String(count).padStart(8, '0')}`;
    const parts = kind === 'bad' ? `${BAD_PART}:800,t${subject}:410,p${id}:250` : `s${subject}:800,t${count % 40}:410,p${id}:250`;
    sentAt.set(id, performance.now());
    const connection = new Connection(fronts[count % FRONTS].address);
    const { status, isWhole } = await connection.send({
      path: '/plan/2f',
      body: 'x'.repeat(500),
      headers: {
        Host: 'plan.example', 'Citronstage-Attempt-Id': id, 'Citronstage-Model': 'm',
        'Citronstage-Token-Counts': '1460,51', 'Citronstage-Prompt-Prefix': parts,
        'Citronstage-Deadline-Ms': String(TIMEOUT_MS), Authorization: `Token ${KEY}`,
      },
    });
    connection.close();
    const name = `${status}${isWhole ? '' : ' cut'}`;
    statuses[kind][name] = (statuses[kind][name] ?? 0) + 1;
    if (kind === 'bad') record.line(`request ${id} with the part: answered ${name}`);
  };
  const pending = [];
  const groups = [...GROUP_AT_S];
  while (performance.now() < startedAt + LOAD_S * 1000) {
    pending.push(request('sound', count % 12));
    if (performance.now() >= startedAt + (groups[0] ?? Infinity) * 1000) {
      groups.shift();
      if (hasTrouble) {
        record.line(`${GROUP_SIZE} callers send requests with the part`);
        for (let caller = 0; caller < GROUP_SIZE; caller += 1) pending.push(request('bad', caller));
      }
    }
    await sleep(1000 / SOUND_PER_S);
  }
  await Promise.all(pending);
  record.line(`answers by status: ${JSON.stringify(statuses)}; ${crashes.length} crashes`);
  const boundAt = (crashes[4] ?? Infinity) + BOUNDS.contact_ms;
  const late = reached.filter(({ id }) => sentAt.get(id) > boundAt);
  late.forEach(({ id, server, at }) =>
    record.line(`BUDGET: ${id} with the part reached ${server} ${((at - crashes[4]) / 1000).toFixed(3)} s after the fifth crash`),
  );
  return late.length > 3 ? late.length : 0;
});
