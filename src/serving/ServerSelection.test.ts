import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ServerRecords } from '../common/serving/ServerRecords.js';
import { ServerStatements } from '../common/serving/ServerStatements.js';
import { COLD_BOUNDS, COLD_CAPACITY } from '../common/serving/testing/ColdFleet.js';
import { createServer } from '../common/serving/testing/fixtures.js';
import { ManualClock } from '../common/serving/testing/ManualClock.js';
import type { CallerRequest } from './CallerRequest.js';
import { NOT_TRIED, ServerSelection, type ServerSelectionServices } from './ServerSelection.js';

/** @returns selection among two cold and two warm servers with two slots, for one process of 30 */
function createSelection(share: number) {
  const clock = new ManualClock();
  const records = new ServerRecords(clock);
  const statements = new ServerStatements({
    clock,
    random: () => 0,
    departureBounds: { graceMs: 1500, registrationLifetimeMs: 5000 },
    limitShareOf: () => 1,
    cold: { bounds: COLD_BOUNDS, capacityOf: () => COLD_CAPACITY, shareOf: () => share },
  });
  const servers = ['cold-1', 'cold-2', 'warm-3', 'warm-4'].map((id) =>
    createServer(id, { slots: 2, coldLeftMs: id.startsWith('cold') ? 8000 : 0 }),
  );
  servers.forEach((server) => statements.recordRegistration(server));
  // Only what the choice among plain servers uses.
  const services = {
    failureDomain: 'north',
    directory: { usable: () => servers },
    records,
    statements,
    peerView: { engineLoad: () => ({ running: 0, tokens: 0 }) },
    routeTable: () => undefined,
    random: () => 0,
  } as unknown as ServerSelectionServices;
  const selection = new ServerSelection(services);
  const choose = () => {
    const server = selection.choose({} as CallerRequest, 'retrieval', NOT_TRIED, []);
    if (server) {
      statements.recordRequest(server);
      records.begin(server.id, 0);
    }
    return server?.id;
  };
  return { clock, selection, choose, statements, servers };
}

describe('ServerSelection with a failure domain that is cold', () => {
  it('sends to the other servers while they have a free slot, then within the limit', () => {
    const { clock, choose, selection } = createSelection(0.5);
    // The buckets of the cold servers fill from the first question on.
    selection.waitMs('retrieval');
    clock.set(1000);
    const chosen = Array.from({ length: 6 }, choose);
    assert.ok(chosen.slice(0, 4).every((id) => id?.startsWith('warm')));
    assert.ok(chosen.slice(4).every((id) => id?.startsWith('cold')));
    assert.ok(choose()?.startsWith('warm'));
  });

  it('refuses nothing in a process without a share while others serve', () => {
    // Guards against callers that are refused because one failure domain is cold.
    const { clock, choose, selection } = createSelection(0);
    clock.set(1000);
    assert.ok(Array.from({ length: 50 }, choose).every((id) => id?.startsWith('warm')));
    assert.equal(selection.waitMs('retrieval'), 0);
  });

  it('states when a retry makes sense if all are cold and this process has no share', () => {
    const { statements, servers, choose, selection } = createSelection(0);
    servers.forEach((server) => statements.cold!.recordResponse(server, 5000, false));
    assert.equal(choose(), undefined);
    assert.equal(selection.waitMs('retrieval'), 1000);
  });
});
