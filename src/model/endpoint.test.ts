import { expect, it } from 'vitest';
import { endpointOf } from './endpoint.js';

it.each([
  ['127.0.0.1:8080', '127.0.0.1', 8080],
  ['[::1]:80', '[::1]', 80],
  ['store.example:443', 'store.example', 443],
])('an address %s has its host and port', (address, host, port) => {
  expect(endpointOf(address)).toEqual({ host, port });
});
