import { expect, it } from 'vitest';
import { endpointOf } from './endpoint.js';

it.each([
  ['127.0.0.1:8080', '127.0.0.1', 8080],
  ['[::1]:80', '[::1]', 80],
  ['store.example:443', 'store.example', 443],
])('splits the address %s into host and port', (address, host, port) => {
  expect(endpointOf(address)).toEqual({ host, port });
});
