import { describe, expect, it } from 'vitest';
import { fingerprintOf } from './fingerprint.js';

const REQUEST = { method: 'POST', host: 'mesh.example', target: '/buy/1?a=b', body: [] };

describe('fingerprintOf', () => {
  it('depends on method, host, target and body, but not on the chunks of the body', () => {
    const whole = fingerprintOf({ ...REQUEST, body: [Buffer.from('a body')] });
    const chunks = ['a', ' ', 'body'].map((text) => Buffer.from(text));
    expect(fingerprintOf({ ...REQUEST, body: chunks })).toBe(whole);
    expect(fingerprintOf({ ...REQUEST, host: 'MESH.example', body: chunks })).toBe(whole);
    const others = [
      REQUEST,
      { ...REQUEST, method: 'PUT' },
      { ...REQUEST, host: 'other.example' },
      { ...REQUEST, target: '/buy/1?a=c' },
      { ...REQUEST, body: [Buffer.from('a bodz')] },
    ].map(fingerprintOf);
    expect(new Set([whole, ...others]).size).toBe(6);
  });

  it('is the same for no body and an empty one, and ignores empty chunks', () => {
    const none = fingerprintOf(REQUEST);
    expect(none).toMatch(/^[0-9a-f]{32}$/);
    expect(fingerprintOf({ ...REQUEST, body: [Buffer.alloc(0)] })).toBe(none);
    const late = [Buffer.alloc(0), Buffer.from('a')];
    expect(fingerprintOf({ ...REQUEST, body: late })).not.toBe(none);
    expect(fingerprintOf({ ...REQUEST, body: late })).toBe(
      fingerprintOf({ ...REQUEST, body: [Buffer.from('a')] }),
    );
  });

  it('counts only the first 1 MiB of a long body, however it is split into chunks', () => {
    const body = Buffer.alloc(1_500_000, 'x');
    const inChunks = [body.subarray(0, 700_001), body.subarray(700_001, 1_100_000)];
    expect(fingerprintOf({ ...REQUEST, body: inChunks })).toBe(
      fingerprintOf({ ...REQUEST, body: [body] }),
    );
  });
});
