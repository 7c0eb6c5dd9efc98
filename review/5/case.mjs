/**
 * The open connections to the store go silent for good, while new ones work, between two changes of
 * the configuration. The second one takes a key away. Counts the requests with this key that run
 * although they were sent later than config_ms after the acknowledgement, by machines in touch.
 */
import { BOUNDS, Connection, PlainWorker, Relay, Store, hasTrouble, runCase, sleep, startFronts } from '../common/harness.mjs';

/** The 5 front machines of the site and the 4 spare ones, which `add_nodes` adds. */
const FRONTS = Number(process.env.FRONTS ?? 9);
const ZONES = ['birmingham', 'nottingham', 'leicester', 'coventry'];
const REQUESTS_PER_S = 100;
const KEPT_KEY = 'key-that-stays';
const REVOKED_KEY = 'key-taken-away';
/** Tolerance for the times that this script measures, in ms. */
const MARGIN_MS = 50;

await runCase(import.meta.url, async ({ record, folder, onEnd, endFronts }) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  const configuration = (version, keys, timeoutMs) => ({
    version,
    routes: [
      {
        name: 'slot-lookup', host: 'slots.example', prefix: '/slots/', kind: 'safe', timeout_ms: timeoutMs,
        target_latency_ms: 300, priority: 2, service: 'booking-desk', attempts: 2, public: false,
        sticky: false, resumable: false,
      },
    ],
    services: [{ name: 'booking-desk', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'bozi300', api_keys: keys, priority: 1 }],
  });
  store.put('op', 'config', configuration(3, [KEPT_KEY, REVOKED_KEY], 1500));
  const servers = Array.from({ length: 4 }, (_, index) => {
    return new PlainWorker({ store, id: `i-desk${index + 1}`, service: 'booking-desk', zone: ZONES[index], slots: 6 });
  });
  await Promise.all(servers.map((server) => server.start()));
  onEnd(() => servers.forEach((server) => server.stop()));
  const relays = Array.from({ length: FRONTS }, () => new Relay(store.address));
  await Promise.all(relays.map((relay) => relay.start()));
  onEnd(() => relays.forEach((relay) => relay.stop()));
  const storeAddresses = relays.map(({ address }) => address);
  const fronts = await startFronts({ count: FRONTS, store, storeAddresses, folder, record, endFronts, zones: ZONES });
  await sleep(8000);

  const answers = [];
  let count = 0;
  let isRunning = true;
  const request = async (key) => {
    count += 1;
    const id = `a${String(count).padStart(8, '0')}`;
    const front = fronts[count % FRONTS];
    const connection = new Connection(front.address);
    const { status, isWhole, sentAt } = await connection.send({
      method: 'GET',
      path: '/slots/2f',
      headers: { Host: 'slots.example', 'Citronstage-Attempt-Id': id, 'Citronstage-Deadline-Ms': '1500', Authorization: `Token ${key}` },
    });
    connection.close();
    answers.push({ id, key, front, status, isWhole, sentAt });
  };
  const pending = [];
  const load = (async () => {
    for (let turn = 0; isRunning; turn += 1) {
      pending.push(request(turn % 2 ? KEPT_KEY : REVOKED_KEY));
      await sleep(1000 / REQUESTS_PER_S);
    }
  })();

  await sleep(2000);
  store.put('op', 'config', configuration(5, [KEPT_KEY, REVOKED_KEY], 1600));
  record.line('operator: version 5 (time-out of the route) acknowledged');
  await sleep(1000);
  let silentAt = -Infinity;
  if (hasTrouble) {
    silentAt = performance.now();
    const counts = relays.map((relay) => relay.silence());
    record.line(`all open connections to the store go silent: ${counts} of the fronts; new ones work`);
  }
  await sleep(200);
  store.put('op', 'config', configuration(8, [KEPT_KEY], 1600));
  const acknowledgedAt = performance.now();
  record.line(`operator: version 8 (takes ${REVOKED_KEY} away) acknowledged`);
  await sleep(12_000);
  isRunning = false;
  await load;
  await Promise.all(pending);

  const runs = new Map(servers.flatMap(({ runs: known }) => known).map((run) => [run.id, run]));
  const boundAt = Math.max(acknowledgedAt + BOUNDS.config_ms, silentAt + BOUNDS.contact_ms) + MARGIN_MS;
  const revoked = answers.filter(({ key, sentAt }) => key === REVOKED_KEY && sentAt > acknowledgedAt);
  const ran = revoked.filter(({ id }) => runs.has(id));
  fronts.forEach((front) => {
    const last = Math.max(acknowledgedAt, ...ran.filter((answer) => answer.front === front).map(({ sentAt }) => sentAt));
    record.line(`${front.name}: last request with the key that ran was sent ${Math.round(last - acknowledgedAt)} ms after the acknowledgement`);
  });
  const late = ran.filter(({ sentAt }) => sentAt > boundAt);
  late.forEach(({ id, front, status, sentAt }) =>
    record.line(
      `CONFIG: ${id} with ${REVOKED_KEY}, sent to ${front.name} ${Math.round(sentAt - acknowledgedAt)} ms after the acknowledgement` +
        `${hasTrouble ? ` and ${Math.round(sentAt - silentAt)} ms after the connections went silent` : ''}, ran at ${runs.get(id).server}, answered ${status}`,
    ),
  );
  const statuses = {};
  answers.forEach(({ key, status }) => {
    const name = `${key === KEPT_KEY ? 'kept' : 'revoked'} ${status}`;
    statuses[name] = (statuses[name] ?? 0) + 1;
  });
  record.line(`answers by key and status: ${JSON.stringify(statuses)}`);
  return late.length;
});
