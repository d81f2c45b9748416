import type http from 'node:http';
import { expect, it } from 'vitest';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import { timeLimitOf } from './timeLimit.js';

const FIELD = 'x-deadline-ms';

function limitOf(deadline: string | undefined, timeoutMs: number | undefined) {
  const request = { headers: { [FIELD]: deadline } } as unknown as http.IncomingMessage;
  return timeLimitOf(request, FIELD, { timeoutMs } as MeshRoute);
}

it('the limit is the shorter of the client’s deadline and the route’s timeout', () => {
  expect(limitOf('500', 800)).toEqual({ allowedMs: 500, code: 'deadline' });
  expect(limitOf('800', 500)).toEqual({ allowedMs: 500, code: 'timeout' });
  expect(limitOf('500', 500)).toEqual({ allowedMs: 500, code: 'timeout' });
});

it('a deadline that is not a positive finite number is ignored', () => {
  for (const deadline of [undefined, '', 'soon', '0', '-5', 'Infinity']) {
    expect(limitOf(deadline, 700)).toEqual({ allowedMs: 700, code: 'timeout' });
  }
});

it('without a deadline and a timeout, the limit is five minutes', () => {
  expect(limitOf(undefined, undefined).allowedMs).toBe(300_000);
});
