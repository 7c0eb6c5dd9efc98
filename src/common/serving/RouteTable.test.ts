import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RouteTable } from './RouteTable.js';
import { createConfiguration, createRoute } from './testing/fixtures.js';

describe('RouteTable', () => {
  const table = new RouteTable(
    createConfiguration({
      routes: [
        createRoute({ name: 'wide', pathPrefix: '/a/' }),
        createRoute({ name: 'narrow', pathPrefix: '/a/b/' }),
        createRoute({ name: 'elsewhere', host: 'other.example', pathPrefix: '/' }),
      ],
      accounts: [{ name: 'one', apiKeys: ['k1', 'k2'], priority: 0 }],
    }),
  );

  it('matches the longest path prefix of the host', () => {
    assert.equal(table.route('shop.example', '/a/b/c')?.name, 'narrow');
    assert.equal(table.route('shop.example', '/a/bc')?.name, 'wide');
    assert.equal(table.route('SHOP.example:80', '/a/x?to=/a/b/')?.name, 'wide');
    assert.equal(table.route('shop.example', '/b/'), undefined);
    assert.equal(table.route('unknown.example', '/a/'), undefined);
  });

  it('finds the account of each of its API keys', () => {
    assert.equal(table.account('k2')?.name, 'one');
    assert.equal(table.account('gone'), undefined);
    assert.equal(table.account(undefined), undefined);
    assert.equal(table.requiresKey, true);
  });

  it('is built in a time that grows like the number of routes of a host, not like its square', () => {
    // Guards against a process that stands still when an operator adds many routes.
    const buildMs = (count: number) => {
      const routes = Array.from({ length: count }, (_, index) =>
        createRoute({ name: `route-${index}`, pathPrefix: `/${index}/` }),
      );
      const configuration = createConfiguration({ routes });
      const times = Array.from({ length: 5 }, () => {
        const startedAt = performance.now();
        assert.equal(new RouteTable(configuration).version, configuration.version);
        return performance.now() - startedAt;
      });
      return Math.min(...times);
    };
    buildMs(2000);
    const ratio = buildMs(32_000) / buildMs(2000);
    assert.ok(ratio < 64, `sixteen times the routes take ${ratio.toFixed(0)} times as long`);
  });
});
