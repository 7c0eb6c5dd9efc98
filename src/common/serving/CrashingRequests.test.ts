import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CrashingRequests } from './CrashingRequests.js';
import { RequestCrashEvidence } from './RequestCrashEvidence.js';
import { ManualClock } from './testing/ManualClock.js';

const HOUR_MS = 3_600_000;

/** Largest evidence in a heartbeat, in bytes: a process sends four a second to each of its peers. */
const MAX_EVIDENCE_BYTES = 8000;

function createRequests() {
  const clock = new ManualClock();
  const requests = new CrashingRequests(clock);
  /** A server ends under requests that were sent to it the given times before. */
  const crash = (at: number, server: string, lost: Record<string, number>) => {
    clock.set(at);
    Object.entries(lost).forEach(([request, runMs]) =>
      requests.recordCrash(server, request, runMs),
    );
  };
  const complete = (at: number, request: string) => {
    clock.set(at);
    requests.recordCompletion(request);
  };
  const found = () => [...requests.found.keys()].sort();
  return { clock, requests, crash, complete, found };
}

describe('requests that crash servers', () => {
  it('are found when three servers have ended one after the other', () => {
    const { requests, crash, found } = createRequests();
    crash(100, 'a', { bad: 70, sound: 10 });
    crash(200, 'b', { bad: 80 });
    assert.deepEqual(found(), []);
    crash(300, 'c', { bad: 90, other: 10 });
    assert.deepEqual(found(), ['bad']);
    assert.equal(requests.found.get('bad')?.endsAt, 300 + HOUR_MS);
  });

  it('are not found in an outage that ends all servers at about the same time', () => {
    // Guards against a frequent request that runs on every server when the service fails.
    const { crash, found } = createRequests();
    for (let index = 0; index < 12; index += 1) crash(1000 + index * 20, `s${index}`, { hot: 500 });
    assert.deepEqual(found(), []);
  });

  it('are not found if they were completed in between', () => {
    const { crash, complete, found } = createRequests();
    crash(100, 'a', { request: 70 });
    crash(200, 'b', { request: 70 });
    complete(250, 'request');
    crash(300, 'c', { request: 70 });
    crash(400, 'd', { request: 70 });
    assert.deepEqual(found(), []);
    crash(500, 'e', { request: 70 });
    assert.deepEqual(found(), ['request']);
  });

  it('are found in two groups that are sent at once', () => {
    const { crash, found } = createRequests();
    crash(100, 'a', { bad: 70 });
    crash(105, 'b', { bad: 70 });
    assert.deepEqual(found(), []);
    crash(300, 'c', { bad: 70 });
    crash(305, 'd', { bad: 70 });
    assert.deepEqual(found(), ['bad']);
  });

  it('are told from requests that were lost beside them three times', () => {
    const { crash, found } = createRequests();
    crash(100, 'a', { bad: 70 });
    crash(200, 'b', { bad: 70, beside: 60 });
    crash(300, 'c', { bad: 70, beside: 60 });
    crash(400, 'd', { bad: 70, beside: 60 });
    assert.deepEqual(found(), ['bad']);
  });

  it('are refused for a short time only while they cannot be told from others', () => {
    const { clock, requests, crash } = createRequests();
    ['a', 'b', 'c'].forEach((server, index) => crash(index * 100, server, { bad: 70, beside: 60 }));
    assert.ok(requests.find('bad'));
    assert.ok(requests.find('beside'));
    clock.set(11_000);
    assert.equal(requests.find('bad'), undefined);
    assert.equal(requests.find('beside'), undefined);
    crash(12_000, 'd', { bad: 70 });
    assert.ok(requests.find('bad'));
    assert.equal(requests.find('beside'), undefined);
    clock.set(60_000);
    assert.ok(requests.find('bad'));
  });

  it('are suspects from the second crash on, until they are completed', () => {
    const { requests, crash, complete } = createRequests();
    crash(100, 'a', { request: 70 });
    assert.equal(requests.isSuspect('request'), false);
    crash(200, 'b', { request: 70 });
    assert.equal(requests.isSuspect('request'), true);
    complete(300, 'request');
    assert.equal(requests.isSuspect('request'), false);
  });

  it('are forgotten after an hour', () => {
    const { clock, requests, crash, found } = createRequests();
    ['a', 'b', 'c'].forEach((server, index) => crash(index * 100, server, { bad: 70 }));
    clock.set(HOUR_MS + 300);
    assert.deepEqual(requests.evidence.crashes, []);
    assert.deepEqual(found(), []);
    assert.equal(requests.isTracking, false);
  });

  it('announce each change once', () => {
    const { requests, crash, complete } = createRequests();
    const events: string[] = [];
    requests.onFound(({ request }) => events.push(`found ${request}`));
    requests.onCleared(({ request }) => events.push(`cleared ${request}`));
    ['a', 'b', 'c', 'd'].forEach((server, index) => crash(index * 100, server, { bad: 70 }));
    complete(500, 'bad');
    assert.deepEqual(events, ['found bad', 'cleared bad']);
  });
});

describe('evidence about requests that crash servers', () => {
  it('is exchanged, so that processes that saw one crash each find the request', () => {
    const clock = new ManualClock();
    const processes = Array.from({ length: 3 }, () => new CrashingRequests(clock));
    processes.forEach((process, index) => {
      clock.set(index * 100);
      process.recordCrash(`server-${index}`, 'bad', 70);
    });
    const messages = processes.map(({ evidence }) => evidence);
    processes.forEach((process) => messages.forEach((message) => process.merge(message)));
    processes.forEach(({ found }) => assert.ok(found.has('bad')));
  });

  it('keeps the order of crashes that a slow message seemed to change', () => {
    const { clock, requests: early } = createRequests();
    early.recordCrash('a', 'bad', 70);
    const late = new CrashingRequests(clock);
    const message = early.evidence;
    clock.set(400);
    late.merge(message);
    late.recordCrash('b', 'bad', 300);
    late.merge(early.evidence);
    clock.set(500);
    late.recordCrash('c', 'bad', 70);
    assert.ok(late.found.has('bad'));
  });

  it('clears a request at the peers of the process that completed it', () => {
    const { clock, requests } = createRequests();
    const peer = new CrashingRequests(clock);
    ['a', 'b', 'c'].forEach((server, index) => {
      clock.set(index * 100);
      requests.recordCrash(server, 'request', 70);
    });
    peer.merge(requests.evidence);
    assert.ok(peer.found.has('request'));
    clock.set(300);
    requests.recordCompletion('request');
    peer.merge(requests.evidence);
    assert.equal(peer.found.size, 0);
    // Its own evidence does not bring it back.
    requests.merge(peer.evidence);
    assert.equal(requests.found.size, 0);
  });

  it('clears a request that another process has completed than those that lost it', () => {
    const { clock, requests } = createRequests();
    const peer = new CrashingRequests(clock);
    ['a', 'b', 'c'].forEach((server, index) => {
      clock.set(index * 100);
      requests.recordCrash(server, 'request', 70);
    });
    peer.merge(requests.evidence);
    clock.set(300);
    peer.recordCompletion('request');
    requests.merge(peer.evidence);
    assert.equal(requests.found.size, 0);
  });

  it('with ids that do not fit into a heartbeat is not read', () => {
    const requests: [string, number][] = [['r'.repeat(1000), 1]];
    const crashes = [{ server: 'a', ageMs: 0, requests }];
    assert.equal(RequestCrashEvidence.safeParse({ crashes, completed: {} }).success, false);
  });

  it('is bounded, and reaches a process that starts later as a whole', () => {
    const { clock, requests } = createRequests();
    for (let crash = 0; crash < 100; crash += 1) {
      clock.set(crash * 1000);
      requests.recordCrash(`server-${crash}`, 'request-of-all', 10);
      for (let request = 0; request < 200; request += 1) {
        requests.recordCrash(`server-${crash}`, `request-${crash}-${request}`, 10);
      }
    }
    const late = new CrashingRequests(clock);
    const servers = new Set<string>();
    clock.set(200_000);
    for (let message = 0; message < 50; message += 1) {
      const { evidence } = requests;
      assert.ok(JSON.stringify(evidence).length < MAX_EVIDENCE_BYTES);
      late.merge(evidence);
      evidence.crashes.forEach(({ server }) => servers.add(server));
    }
    assert.equal(servers.size, 48);
    assert.ok(requests.found.has('request-of-all'));
    assert.ok(late.found.has('request-of-all'));
  });

  it('to be stored is that against the request alone, and suffices', () => {
    const { clock, requests, crash } = createRequests();
    ['a', 'b', 'c', 'd', 'e'].forEach((server, index) =>
      crash(index * 100, server, { bad: 70, [`beside-${index}`]: 20 }),
    );
    const restarted = new CrashingRequests(clock);
    restarted.merge(requests.evidenceAgainst('bad'));
    assert.deepEqual([...restarted.found.keys()], ['bad']);
    assert.equal(JSON.stringify(requests.evidenceAgainst('bad')).includes('beside'), false);
  });
});
