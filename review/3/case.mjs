/**
 * A planned stop (SIGTERM) of one front daemon beside callers that keep their connections. Each
 * caller sends the next request as soon as the answer before it is whole, unless told to close.
 */
import { BOUNDS, Connection, StreamWorker, Store, hasTrouble, runCase, sleep, startFronts } from '../common/harness.mjs';

const CALLERS = 24;
const MODEL_SERVERS = 4;
const STOP_AT_S = 8;
const LOAD_S = 24;
/** Streams as those of floor-ask: 93 events on the mean and 220 at most, pauses under 150 ms. */
const EVENTS = 110;
const GAP_MS = 42;
const TIMEOUT_MS = 15_000;
const KEY = 'key-of-the-tenant';

await runCase(import.meta.url, async ({ record, folder, onEnd, endFronts }) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  store.put('op', 'config', {
    version: 3,
    routes: [
      {
        name: 'floor-ask', host: 'plan.example', prefix: '/ask/', kind: 'streaming', timeout_ms: TIMEOUT_MS,
        target_latency_ms: 570, priority: 2, service: 'citron-pool', attempts: 1, public: false,
        sticky: true, resumable: false, max_gap_ms: 150,
      },
    ],
    services: [
      { name: 'citron-pool', health_path: '/health', max_conns: 290, protocol: 'h1', tls: false, engine: { slots: 48, kv_tokens: 613959 } },
    ],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: 'weaver', api_keys: [KEY], priority: 1 }],
  });
  const servers = Array.from({ length: MODEL_SERVERS }, (_, index) => {
    const server = new StreamWorker({ store, id: `i-model${index + 1}`, service: 'citron-pool', slots: 48 });
    return Object.assign(server, { events: EVENTS, gapMs: GAP_MS });
  });
  await Promise.all(servers.map((server) => server.start()));
  onEnd(() => servers.forEach((server) => server.stop()));
  const fronts = await startFronts({ count: 2, store, folder, record, endFronts });
  const [stopped, other] = fronts;
  await sleep(1500);

  // The platform: asks each second whether a daemon is ready; two misses take it out of rotation.
  const misses = new Map(fronts.map((front) => [front, 0]));
  const poll = setInterval(() => {
    fronts.forEach(async (front) => {
      const isReady = await front.isReady();
      misses.set(front, isReady ? 0 : misses.get(front) + 1);
    });
  }, 1000);
  onEnd(() => clearInterval(poll));

  const startedAt = performance.now();
  const endsAt = startedAt + LOAD_S * 1000;
  const answers = [];
  let stoppedAt = Infinity;
  let count = 0;
  const caller = async (number) => {
    await sleep((number * EVENTS * GAP_MS) / CALLERS);
    while (performance.now() < endsAt) {
      const front = misses.get(stopped) < 2 ? stopped : other;
      const connection = new Connection(front.address);
      let answer = { mayReuse: true };
      for (let order = 1; answer.mayReuse && performance.now() < endsAt; order += 1) {
        count += 1;
        const id = `a${String(count).padStart(8, '0')}`;
        answer = await connection.send({
          path: '/ask/2f',
          body: 'x'.repeat(500),
          headers: {
            Host: 'plan.example', 'Citronstage-Attempt-Id': id, 'Citronstage-Model': 'm',
            'Citronstage-Token-Counts': '543,330', 'Citronstage-Prompt-Prefix': `s1:103,p${id}:440`,
            'Citronstage-Deadline-Ms': String(TIMEOUT_MS), Authorization: `Token ${KEY}`,
          },
        });
        answers.push({ ...answer, id, front, order });
        if (answer.status === 0) await sleep(100);
      }
      connection.close();
    }
  };
  const callers = Array.from({ length: CALLERS }, (_, number) => caller(number));
  await sleep(STOP_AT_S * 1000);
  if (hasTrouble) {
    stoppedAt = performance.now();
    stopped.kill('SIGTERM');
    // As the platform does it after grace_s, and the start that follows.
    setTimeout(() => !stopped.hasExited && stopped.kill('SIGKILL'), BOUNDS.grace_s * 1000);
    stopped.exited.then(() => sleep(500)).then(() => performance.now() < endsAt && stopped.start());
  }
  await Promise.all(callers);

  const runs = new Map(servers.flatMap(({ runs: known }) => known).map((run) => [run.id, run]));
  const second = (at) => ((at - stoppedAt) / 1000).toFixed(3);
  let breaks = 0;
  answers.forEach((answer) => {
    const { id, front, order, status, isWhole, sentAt, endedAt, headers } = answer;
    const run = runs.get(id);
    const isRefused = status === 503 && isWhole;
    if ((status === 200 && isWhole) || isRefused) return;
    // Excused: never read (not passed on, and its connection ended within loss_slack_ms).
    const isRead = run !== undefined || endedAt - sentAt > BOUNDS.loss_slack_ms;
    // Excused: sent no later than 3 s after SIGTERM and still at work in the last sixth of grace_s.
    const lastSixth = stoppedAt + (BOUNDS.grace_s * 1000 * 5) / 6;
    const isExcused = sentAt <= stoppedAt + 3000 && endedAt >= lastSixth;
    const isAtDeadline = endedAt - sentAt >= TIMEOUT_MS;
    const isPlanned = front === stopped && endedAt <= stoppedAt + (BOUNDS.grace_s + 1) * 1000;
    const isBreak = isRead && !isExcused && !isAtDeadline && isPlanned;
    if (isBreak) breaks += 1;
    record.line(
      `${isBreak ? 'LOST' : 'not counted'}: ${id}, request ${order} on its connection to ${front.name}, sent ${second(sentAt)} s after SIGTERM, ` +
        `${run ? `at work at ${run.server}` : 'not passed on'}, status ${status}, answer cut ${second(endedAt)} s after SIGTERM` +
        `${headers.connection ? `, Connection: ${headers.connection}` : ''}`,
    );
  });
  const whole = answers.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  record.line(`${answers.length} requests, ${whole} answered whole with 200`);
  return breaks;
});
