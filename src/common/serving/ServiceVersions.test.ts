import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ServiceVersions } from './ServiceVersions.js';
import { createServer } from './testing/fixtures.js';
import { ManualClock } from './testing/ManualClock.js';

const LIFETIME_MS = 10_000;

function createVersions() {
  const clock = new ManualClock();
  const versions = new ServiceVersions(clock, () => LIFETIME_MS);
  const register = (id: string, version?: string) =>
    versions.recordServer({
      ...createServer(id),
      service: 'pool',
      ...(version !== undefined && { version }),
    });
  return { clock, versions, register };
}

describe('ServiceVersions', () => {
  it('names the only version until another one registers, and after that one is long gone', () => {
    const { clock, versions, register } = createVersions();
    register('a', 'v1');
    assert.equal(versions.only('pool'), undefined);
    versions.recordAllRead(true);
    assert.equal(versions.only('pool'), 'v1');
    register('b', 'v2');
    versions.removeServer('a');
    assert.equal(versions.only('pool'), undefined);
    clock.set(LIFETIME_MS);
    versions.check();
    assert.equal(versions.only('pool'), 'v2');
  });

  it('does not take the versions of this process for those of an earlier life or of others', () => {
    // Guards against a take-up after a loss of power, when only the newer version has servers.
    const { clock, versions, register } = createVersions();
    register('b', 'v2');
    versions.recordEarlierLife({ pool: ['v1'] });
    versions.recordAllRead(true);
    assert.deepEqual(versions.own, { pool: ['v1', 'v2'] });
    assert.equal(versions.only('pool'), undefined);
    clock.set(LIFETIME_MS - 1);
    versions.recordReport({ pool: ['v3'] });
    clock.set(2 * LIFETIME_MS - 2);
    versions.check();
    assert.equal(versions.only('pool'), undefined);
    clock.set(2 * LIFETIME_MS);
    assert.equal(versions.only('pool'), 'v2');
  });

  it('knows no only version while rows of a restored store may be out of date', () => {
    const { clock, versions, register } = createVersions();
    register('a', 'v1');
    versions.recordAllRead(false);
    assert.equal(versions.only('pool'), undefined);
    clock.set(LIFETIME_MS);
    assert.equal(versions.only('pool'), 'v1');
  });

  it('does not take servers without a version for those of a known one', () => {
    const { versions, register } = createVersions();
    register('a');
    versions.recordAllRead(true);
    assert.equal(versions.only('pool'), undefined);
    register('b', 'v1');
    assert.equal(versions.only('pool'), undefined);
  });
});
