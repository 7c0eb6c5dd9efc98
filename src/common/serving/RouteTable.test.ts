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
});
