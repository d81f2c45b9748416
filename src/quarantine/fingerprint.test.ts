import { describe, expect, it } from 'vitest';
import { fingerprintOf } from './fingerprint.js';

const REQUEST = { method: 'POST', host: 'mesh.example', target: '/buy/1?a=b', body: [] };

describe('the fingerprint of a request', () => {
  it('is that of its method, host, target and body, however the body comes', () => {
    const whole = fingerprintOf({ ...REQUEST, body: [Buffer.from('a body')] });
    const pieces = ['a', ' ', 'body'].map((text) => Buffer.from(text));
    expect(fingerprintOf({ ...REQUEST, body: pieces })).toBe(whole);
    expect(fingerprintOf({ ...REQUEST, host: 'MESH.example', body: pieces })).toBe(whole);
    const others = [
      REQUEST,
      { ...REQUEST, method: 'PUT' },
      { ...REQUEST, host: 'other.example' },
      { ...REQUEST, target: '/buy/1?a=c' },
      { ...REQUEST, body: [Buffer.from('a bodz')] },
    ].map(fingerprintOf);
    expect(new Set([whole, ...others]).size).toBe(6);
  });

  it('is the same for no body and an empty one, also before one that comes', () => {
    const none = fingerprintOf(REQUEST);
    expect(none).toMatch(/^[0-9a-f]{32}$/);
    expect(fingerprintOf({ ...REQUEST, body: [Buffer.alloc(0)] })).toBe(none);
    const late = [Buffer.alloc(0), Buffer.from('a')];
    expect(fingerprintOf({ ...REQUEST, body: late })).not.toBe(none);
    expect(fingerprintOf({ ...REQUEST, body: late })).toBe(
      fingerprintOf({ ...REQUEST, body: [Buffer.from('a')] }),
    );
  });

  it('takes of a long body its beginning alone, cut at the same byte', () => {
    const body = Buffer.alloc(1_500_000, 'x');
    const inPieces = [body.subarray(0, 700_001), body.subarray(700_001, 1_100_000)];
    expect(fingerprintOf({ ...REQUEST, body: inPieces })).toBe(
      fingerprintOf({ ...REQUEST, body: [body] }),
    );
  });
});
