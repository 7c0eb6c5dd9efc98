import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ServingConfiguration } from '../common/serving/ServingConfiguration.js';
import { createLogger } from '../telemetry/Logger.js';
import { ConfigurationView } from './ConfigurationView.js';
import type { DecodedValue } from './Types.js';
import { ConfigurationSnapshot } from './peers/PeerMessages.js';

const ROUTES = 1400;

/** Largest copy of a large configuration, in bytes: twenty pass a link of 7 Mbit/s in about 2 s. */
const MAX_COPY_BYTES = 100_000;

/** @returns a large configuration as the store holds it */
function createValue(version: number): Buffer {
  const route = {
    host: 'shop.example',
    kind: 'safe',
    timeoutMs: 1500,
    objectiveMs: 300,
    priority: 1,
    targets: [{ service: 'plain', weight: 1 }],
    maxServers: 2,
    stages: [],
    isPublic: false,
    usesEngine: false,
    isResumable: false,
  };
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    ...route,
    name: `route-${index}`,
    pathPrefix: `/p${(index * 7919).toString(36)}/`,
  }));
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return Buffer.from(JSON.stringify({ version, routes, services: [], limits }));
}

/** @returns view of a process, and the number of configurations that it has decoded */
function createView() {
  const counts = { decoded: 0 };
  const decoder = {
    configuration: (value: Buffer): DecodedValue<ServingConfiguration> => {
      counts.decoded += 1;
      return { ok: true, value: ServingConfiguration.parse(JSON.parse(value.toString())) };
    },
    registration: () => ({ ok: false, reason: 'unused' }) as const,
  };
  const clock = { now: () => 0, wallTime: () => 0 };
  const logger = createLogger('test', 'error', () => undefined);
  return { view: new ConfigurationView(clock, decoder, logger), counts };
}

const position = (version: number) => ({ era: 0, version });

describe('a copy of a large configuration for a peer', () => {
  it('is small and is put in force', async () => {
    // Guards against copies that all peers request at once and that fill a narrow link for seconds.
    const { view } = createView();
    view.applyStored(createValue(2), position(2));
    const snapshot = await view.snapshotFor({ acceptsGzip: true });
    assert.ok(JSON.stringify(snapshot).length < MAX_COPY_BYTES);
    const { view: peer } = createView();
    await peer.applyFromPeer(ConfigurationSnapshot.parse(snapshot), 'peer');
    assert.equal(peer.version, 2);
    assert.equal(peer.routeTable?.configuration.routes.length, ROUTES);
  });

  it('is that of the configuration in force, after a change too', async () => {
    const { view } = createView();
    view.applyStored(createValue(2), position(2));
    await view.snapshotFor({ acceptsGzip: true });
    view.applyStored(createValue(3), position(3));
    const { view: peer } = createView();
    const snapshot = await view.snapshotFor({ acceptsGzip: true });
    await peer.applyFromPeer(ConfigurationSnapshot.parse(snapshot), 'peer');
    assert.equal(peer.version, 3);
    assert.equal(peer.routeTable?.version, 3);
  });

  it('is readable by a peer of an older version', async () => {
    const { view } = createView();
    const value = createValue(2);
    view.applyStored(value, position(2));
    const snapshot = await view.snapshotFor({ acceptsGzip: false });
    assert.equal(snapshot?.value, value.toString('base64'));
    const { view: peer } = createView();
    await peer.applyFromPeer(ConfigurationSnapshot.parse(snapshot), 'peer');
    assert.equal(peer.version, 2);
  });
});

describe('a configuration that arrives from the store and from peers', () => {
  it('is decoded once', async () => {
    // Guards against a process with a fraction of a core that stands still for each copy.
    const { view: peer } = createView();
    peer.applyStored(createValue(2), position(2));
    const snapshot = ConfigurationSnapshot.parse(await peer.snapshotFor({ acceptsGzip: true }));
    const { view, counts } = createView();
    await view.applyFromPeer(snapshot, 'peer');
    await view.applyFromPeer(snapshot, 'other-peer');
    view.applyStored(createValue(2), position(2));
    assert.equal(counts.decoded, 1);
    assert.deepEqual(view.state?.inForce.position, position(2));
  });
});
