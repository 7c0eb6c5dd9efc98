/**
 * One answer of one server is no response. Counts the requests that are still unanswered at their
 * route's time-out, and how many of them have no answer half a second later.
 */
import { Connection, PlainWorker, Store, hasTrouble, runCase, sleep, startFronts } from '../common/harness.mjs';

const ZONES = ['morava-a', 'morava-b', 'morava-c'];
const REQUESTS_PER_S = 40;
const LOAD_S = 20;
const FAULT_AT_S = 4;
/** `garble`: share 0.35 of the servers, x 0.02 of their answers, for 5.5 s. */
const FAULT_S = 5.5;
const ONE_IN = 50;
const TIMEOUT_MS = 800;
const DEADLINE_MS = 1500;
const HALF_A_SECOND_MS = 500;
const KEY = 'key-of-the-tenant';
/** An answer of the server in which one bit of the status 200 is wrong, which makes it no response. */
const garbled = (id, server) =>
  `HTTP/1.1 000 OK\r\nCitronstage-Attempt-Id: ${id}\r\nCitronstage-Response-Seal: ${server}.${id}\r\nContent-Length: 4\r\n\r\ndone`;

let isFaulty = false;

class OrderWorker extends PlainWorker {
  answersUnderFault = 0;

  async handle(request, response, body, attemptId) {
    if (!isFaulty || !this.isAffected) {
      await super.handle(request, response, body, attemptId);
      return;
    }
    this.answersUnderFault += 1;
    if (this.answersUnderFault % ONE_IN !== 0) {
      await super.handle(request, response, body, attemptId);
      return;
    }
    this.runs.push({ id: attemptId, server: this.id, at: performance.now(), headers: request.headers });
    await sleep(this.workMs);
    const bytes = garbled(attemptId, this.id);
    this.record.line(`${this.id}: answers ${attemptId} with ${JSON.stringify(bytes)}`);
    request.socket.end(bytes);
  }
}

await runCase(import.meta.url, async ({ record, folder, onEnd, endFronts }) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  const route = {
    host: 'orders.example', timeout_ms: TIMEOUT_MS, target_latency_ms: 300, priority: 2,
    service: 'zakazky', public: false, sticky: false, resumable: false,
  };
  store.put('op', 'config', {
    version: 3,
    routes: [
      { ...route, name: 'job-claim', prefix: '/claims/', kind: 'unsafe', attempts: 1 },
      { ...route, name: 'order-read', prefix: '/orders/', kind: 'safe', attempts: 2 },
    ],
    services: [{ name: 'zakazky', health_path: '/health', max_conns: 96, protocol: 'h1', tls: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'weaver', api_keys: [KEY], priority: 1 }],
  });
  const servers = ZONES.map((zone, index) => {
    const server = new OrderWorker({ store, id: `i-orders${index + 1}`, service: 'zakazky', zone, slots: 6 });
    return Object.assign(server, { record, isAffected: index === 0 });
  });
  await Promise.all(servers.map((server) => server.start()));
  onEnd(() => servers.forEach((server) => server.stop()));
  const [front] = await startFronts({ count: 1, store, folder, record, endFronts, zones: ZONES });
  await sleep(1500);

  const startedAt = performance.now();
  const poll = setInterval(async () => {
    const isReady = await front.isReady();
    if (!isReady) record.line(`${front.name}: no 200 to GET /ready within half a second`);
  }, 1000);
  onEnd(() => clearInterval(poll));
  const answers = [];
  let count = 0;
  const request = async (isClaim) => {
    count += 1;
    const id = `a${String(count).padStart(8, '0')}`;
    const connection = new Connection(front.address);
    // A second past the deadline the client closes, so that the script sees late answers too.
    const timer = setTimeout(() => connection.close(), DEADLINE_MS + 1000);
    const answer = await connection.send({
      method: isClaim ? 'POST' : 'GET',
      path: isClaim ? '/claims/2f' : '/orders/2f',
      body: isClaim ? 'x'.repeat(600) : '',
      headers: {
        Host: 'orders.example', 'Citronstage-Attempt-Id': id, 'Citronstage-Deadline-Ms': String(DEADLINE_MS),
        Authorization: `Token ${KEY}`,
      },
    });
    clearTimeout(timer);
    connection.close();
    answers.push({ ...answer, id, isClaim });
  };
  const pending = [];
  if (hasTrouble) {
    setTimeout(() => {
      isFaulty = true;
      record.line(`garble at ${servers[0].id}: one answer in ${ONE_IN}, for ${FAULT_S} s`);
    }, FAULT_AT_S * 1000);
    setTimeout(() => {
      isFaulty = false;
    }, (FAULT_AT_S + FAULT_S) * 1000);
  }
  for (let turn = 0; performance.now() < startedAt + LOAD_S * 1000; turn += 1) {
    pending.push(request(turn % 3 !== 0));
    await sleep(1000 / REQUESTS_PER_S);
  }
  await Promise.all(pending);

  const unanswered = answers.filter(({ status, sentAt, endedAt }) => status === 0 || endedAt - sentAt > TIMEOUT_MS);
  const late = unanswered.filter(
    ({ status, sentAt, endedAt }) => status === 0 || endedAt - sentAt > TIMEOUT_MS + HALF_A_SECOND_MS,
  );
  late.forEach(({ id, isClaim, status, sentAt, endedAt }) =>
    record.line(
      `${id} (${isClaim ? 'job-claim' : 'order-read'}), sent at ${((sentAt - startedAt) / 1000).toFixed(3)} s of the load: ` +
        `${status === 0 ? 'no answer' : `answered ${status}`} after ${Math.round(endedAt - sentAt)} ms`,
    ),
  );
  const statuses = {};
  answers.forEach(({ status }) => {
    statuses[status] = (statuses[status] ?? 0) + 1;
  });
  record.line(`answers by status (0: none): ${JSON.stringify(statuses)}`);
  record.line(`CONFIG: ${unanswered.length} requests unanswered at timeout_ms, ${late.length} of them half a second later`);
  // More than half, and eight at least, so that a single slow answer of this machine doesn't count.
  return late.length >= 8 && late.length * 2 > unanswered.length ? late.length : 0;
});
