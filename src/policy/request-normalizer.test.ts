import fc from 'fast-check';
import { expect, test } from 'vitest';
import { normalizePath } from './request-normalizer.js';

test.each([
  ['/a/b', '/a/b'],
  ['/a//b/./c', '/a/b/c'],
  ['/a/../b', '/b'],
  ['/../../b/', '/b/'],
  ['/%61dmin', '/admin'],
  ['/a/%2e%2e/b', '/b'],
  ['/caf%c3%a9', '/caf%C3%A9'],
  ['/', '/'],
])('normalises %s', (raw, expected) => {
  expect(normalizePath(raw).extract()).toBe(expected);
});

test.each(['a', '*', '/a%2fb', '/a%5Cb', '/a\\b', '/a%00', '/a%', '/a%zz'])('rejects %s', (raw) => {
  expect(normalizePath(raw).isLeft()).toBe(true);
});

test('normalising a normalised path does not change it', () => {
  const segment = fc.stringMatching(/^[A-Za-z0-9.%_~/-]{0,12}$/);
  fc.assert(
    fc.property(segment, (text) => {
      normalizePath(`/${text}`).ifRight((path) => {
        expect(normalizePath(path).extract()).toBe(path);
      });
    }),
    { seed: 7 },
  );
});
