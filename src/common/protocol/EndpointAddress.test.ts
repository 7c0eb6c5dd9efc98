import assert from 'node:assert/strict';
import { it } from 'node:test';
import { EndpointAddress } from './EndpointAddress.js';

it('accepts addresses that sockets accept and no others', () => {
  const valid = [
    '10.1.0.41:8625',
    '127.0.0.1:1',
    '255.255.255.255:65535',
    '[::1]:80',
    '[fe80::1]:9',
  ];
  valid.forEach((address) => assert.ok(EndpointAddress.safeParse(address).success, address));
  const invalid = [
    '',
    ':80',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:70000',
    '10.0.0.1:65536',
    '10.0.0.1:8e3',
    '10.0.0.1:-1',
    '10.0.0.1: 80',
    '10.0.0.1:80\n',
    '999.0.0.1:80',
    '10.0.0:80',
    '10.0.0.1.2:80',
    'host:80',
    '::1:80',
    '[::g]:80',
    '[10.0.0.1]:80:80',
    7,
    null,
    { ip: '10.0.0.1' },
  ];
  invalid.forEach((address) =>
    assert.equal(EndpointAddress.safeParse(address).success, false, JSON.stringify(address)),
  );
});
