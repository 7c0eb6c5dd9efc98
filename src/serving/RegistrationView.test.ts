import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ServerDirectory } from '../common/serving/ServerDirectory.js';
import { createDepartures, createServer } from '../common/serving/testing/fixtures.js';
import { ManualClock } from '../common/serving/testing/ManualClock.js';
import { createLogger } from '../telemetry/Logger.js';
import { RegistrationView } from './RegistrationView.js';

/** Time allowed for the store to deliver a change that a peer already knows, in ms. */
const DELIVERY_TIMEOUT_MS = 600;

/** Longer than the store may take to deliver a change that a peer already knows, in ms. */
const LATE_MS = 1000;

/** @returns view of a process that knows one server at version 500 of the store's first era */
function createView() {
  const clock = new ManualClock();
  const directory = new ServerDirectory(clock, createDepartures(clock));
  const decoder = {
    configuration: () => ({ ok: false, reason: 'unused' }) as const,
    registration: (id: string) => ({ ok: true, value: { id, server: createServer(id) } }) as const,
  };
  const logger = createLogger('test', 'error', () => undefined);
  const view = new RegistrationView(
    clock,
    directory,
    decoder,
    logger,
    () => undefined,
    () => DELIVERY_TIMEOUT_MS,
  );
  view.markStoreReachable();
  view.replaceAll([{ key: 's1', value: Buffer.from('1') }], { era: 1, version: 500 }, false);
  return { clock, directory, view };
}

/** @returns whether the view copies the registrations of a peer after it has waited for the store */
function copiesLater({ clock, view }: ReturnType<typeof createView>, era: number, version: number) {
  const peer = { serverEra: era, serverVersion: version, serverDigest: -1 };
  view.shouldCopyFrom(peer);
  clock.set(clock.now() + LATE_MS);
  return view.shouldCopyFrom(peer);
}

describe('RegistrationView behind a peer', () => {
  it('copies its registrations although other peers are behind as well', () => {
    // Guards against a drain that only one of many processes learns of, because heartbeats of the
    // others restart the wait for the store.
    const { clock, view } = createView();
    const later = { serverEra: 1, serverVersion: 501, serverDigest: -1 };
    const equal = { serverEra: 1, serverVersion: 500, serverDigest: view.digest };
    const copiesAt: number[] = [];
    for (let now = 0; now <= LATE_MS; now += 250) {
      clock.set(now);
      if (view.shouldCopyFrom(later)) copiesAt.push(now);
      assert.equal(view.shouldCopyFrom(equal), false);
    }
    assert.deepEqual(copiesAt, [750, 1000]);
  });

  it('waits anew after the store has delivered a change', () => {
    const { clock, view } = createView();
    const later = { serverEra: 1, serverVersion: 502, serverDigest: -1 };
    assert.equal(view.shouldCopyFrom(later), false);
    clock.set(DELIVERY_TIMEOUT_MS + 1);
    view.apply([{ key: 's1', value: Buffer.from('2') }], { era: 1, version: 501 });
    assert.equal(view.shouldCopyFrom(later), false);
  });
});

const rowOf = (id: string): [string, string] => [id, Buffer.from(id).toString('base64')];

describe('RegistrationView after the store was restored', () => {
  it('copies the registrations of a peer in a later era although their version is lower', () => {
    const fixture = createView();
    assert.ok(copiesLater(fixture, 2, 300));
    fixture.view.applyIfNewer({ era: 2, version: 300, rows: [rowOf('s1'), rowOf('s2')] }, 'peer');
    assert.deepEqual(fixture.view.position, { era: 2, version: 300 });
    assert.equal(fixture.directory.size, 2);
  });

  it('does not copy those of a peer in an earlier era although their version is higher', () => {
    const fixture = createView();
    fixture.view.replaceAll(
      [{ key: 's1', value: Buffer.from('1') }],
      { era: 2, version: 300 },
      true,
    );
    assert.equal(copiesLater(fixture, 1, 900), false);
    fixture.view.applyIfNewer({ era: 1, version: 900, rows: [rowOf('s2')] }, 'peer');
    assert.equal(fixture.directory.get('s2'), undefined);
  });
});
