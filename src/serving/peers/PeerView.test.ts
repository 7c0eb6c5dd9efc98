import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../../common/serving/testing/ManualClock.js';
import { PeerView } from './PeerView.js';
import { createHeartbeat } from './testing/fixtures.js';

/** Time after which a process without heartbeats must count as dead, in ms. */
const DEAD_AFTER_MS = 1200;

function createView(peers: number) {
  const clock = new ManualClock();
  const own = createHeartbeat('own', { weight: 0.01 });
  const view = new PeerView(clock, () => own);
  const ids = Array.from({ length: peers }, (_, index) => `peer-${index + 1}`);
  ids.forEach((id) => view.recordHeartbeat(createHeartbeat(id, { engines: { engine: [1, 100] } })));
  return { clock, view, ids };
}

describe('PeerView', () => {
  it('sums the load of an engine over the live processes only', () => {
    // Guards against engines that seem busy for ever after a process with requests on them is lost.
    const { clock, view } = createView(3);
    assert.deepEqual(view.engineLoad('engine'), { running: 3, tokens: 300 });
    view.recordHeartbeat(createHeartbeat('peer-1', { engines: { engine: [5, 0] } }));
    assert.deepEqual(view.engineLoad('engine'), { running: 7, tokens: 200 });
    clock.set(DEAD_AFTER_MS);
    view.recordHeartbeat(createHeartbeat('peer-2', { engines: { other: [1, 1] } }));
    assert.equal(view.processCount, 2);
    assert.deepEqual(view.engineLoad('engine'), { running: 0, tokens: 0 });
    assert.deepEqual(view.engineLoad('other'), { running: 1, tokens: 1 });
  });

  it('moves a service to another process when its batching process dies, leaves or fails', () => {
    const { clock, view, ids } = createView(4);
    const first = view.batchingProcess('retrieval').id;
    view.recordHeartbeat(createHeartbeat(first, { isLeaving: true }));
    const second = view.batchingProcess('retrieval').id;
    assert.notEqual(second, first);
    view.recordFailedCall(second);
    const third = view.batchingProcess('retrieval').id;
    assert.ok(third !== first && third !== second);
    clock.set(DEAD_AFTER_MS);
    ids
      .filter((id) => id !== second && id !== third)
      .forEach((id) => view.recordHeartbeat(createHeartbeat(id)));
    assert.notEqual(view.batchingProcess('retrieval').id, third);
    assert.equal(view.isLive(third), false);
  });

  it('divides the stage services evenly among the processes', () => {
    // Guards against one process that is on the way of most stages and delays the requests of all.
    const services = ['encode', 'rank', 'retrieve'];
    for (let fleet = 0; fleet < 40; fleet += 1) {
      const ids = services.map((_, index) => `front-${fleet}-${index}`);
      const viewOf = (own: string, leaving?: string) => {
        const heartbeat = (id: string) => createHeartbeat(id, { isLeaving: id === leaving });
        const view = new PeerView(
          new ManualClock(),
          () => heartbeat(own),
          () => services,
        );
        ids.filter((id) => id !== own).forEach((id) => view.recordHeartbeat(heartbeat(id)));
        return view;
      };
      const assignment = (view: PeerView) => services.map((name) => view.batchingProcessId(name));
      const assigned = assignment(viewOf(ids[0]!));
      assert.equal(new Set(assigned).size, services.length);
      ids.forEach((id) => assert.deepEqual(assignment(viewOf(id)), assigned));
      const remaining = assignment(viewOf(ids[0]!, ids[0]));
      assert.deepEqual(new Set(remaining), new Set(ids.slice(1)));
      // The order of the questions does not matter, nor a service that a process does not know yet.
      const view = viewOf(ids[1]!);
      assert.ok(ids.includes(view.batchingProcessId('unknown')));
      assert.deepEqual(
        services.toReversed().map((name) => view.batchingProcessId(name)),
        assigned.toReversed(),
      );
    }
  });

  it('returns the latest load of the batching process', () => {
    const { view } = createView(4);
    const { id } = view.batchingProcess('retrieval');
    const load = { piecesPerMs: 0.5, latePieces: 700, priorities: [] };
    view.recordHeartbeat(createHeartbeat(id, { stageLoads: { retrieval: load } }));
    assert.deepEqual(view.stageLoad('retrieval'), load);
  });

  it('creates no heartbeat for each question about a service that the own process batches', () => {
    // Guards against work per request that grows with the servers: a heartbeat lists all of them.
    const clock = new ManualClock();
    let heartbeats = 0;
    const view = new PeerView(clock, () => {
      heartbeats += 1;
      return createHeartbeat('own', {
        stageLoads: { retrieval: { piecesPerMs: heartbeats, latePieces: 0, priorities: [] } },
      });
    });
    for (let index = 0; index < 100; index += 1) {
      assert.equal(view.batchingProcess('retrieval').id, 'own');
      assert.ok(view.stageLoad('retrieval'));
    }
    assert.ok(heartbeats <= 2, `${heartbeats} heartbeats`);
    const before = view.stageLoad('retrieval')!.piecesPerMs;
    clock.set(100);
    assert.ok(view.stageLoad('retrieval')!.piecesPerMs > before);
  });

  it('knows no load of a service whose name is a property of objects', () => {
    // Guards against the admission failing on a value that is no load.
    const { view } = createView(4);
    assert.equal(view.stageLoad('constructor'), undefined);
    assert.equal(view.stageLoad('__proto__'), undefined);
  });

  it('handles a heartbeat without visiting the state of the other processes', () => {
    // Guards against work that grows with the square of the fleet: every process receives the
    // heartbeats of all others.
    const { view } = createView(0);
    let visits = 0;
    const engines = new Proxy<Record<string, [number, number]>>(
      { engine: [1, 1] },
      {
        ownKeys: (target) => {
          visits += 1;
          return Reflect.ownKeys(target);
        },
      },
    );
    const fleet = 100;
    for (let index = 0; index < fleet; index += 1) {
      view.recordHeartbeat(createHeartbeat(`peer-${index}`, { engines }));
    }
    assert.ok(visits <= 2 * fleet, `${visits} visits for ${fleet} heartbeats`);
    assert.deepEqual(view.engineLoad('engine'), { running: fleet, tokens: fleet });
  });

  it('divides the limit of a server among few processes, and leaves out the leaving ones', () => {
    // Guards against many processes that each save up one request for the same server.
    const ids = Array.from({ length: 20 }, (_, index) => `process-${index}`);
    const shares = (leaving: readonly string[], requestsPerS: number) =>
      ids.map((own) => {
        const heartbeat = (id: string) => createHeartbeat(id, { isLeaving: leaving.includes(id) });
        const view = new PeerView(new ManualClock(), () => heartbeat(own));
        ids.filter((id) => id !== own).forEach((id) => view.recordHeartbeat(heartbeat(id)));
        return view.limitShare('server', requestsPerS);
      });
    const low = shares([], 1.5);
    assert.deepEqual(
      low.filter((share) => share > 0),
      [0.25, 0.25, 0.25, 0.25],
    );
    assert.equal(shares([], 10).filter((share) => share === 0.1).length, 10);
    const leaving = ids.filter((_, index) => low[index]! > 0);
    const others = shares(leaving, 1.5);
    assert.equal(others.filter((share) => share === 0.25).length, 4);
    assert.ok(ids.every((id, index) => !leaving.includes(id) || others[index] === 0));
  });
});
