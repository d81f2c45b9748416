import { describe, expect, it } from 'vitest';
import { createBackEndLoad } from './backEndLoad.js';

const report = (slowness: number | undefined, waiting = 0) => ({
  running: 1,
  waiting,
  slots: 8,
  slowness,
});

describe('createBackEndLoad', () => {
  it('assumes usual speed until a slowness is reported', () => {
    const load = createBackEndLoad();
    expect(load.slowness(0)).toBe(1);
    load.note(report(undefined, 3), 10);
    expect(load.slowness(10)).toBe(1);
    expect(load.waiting(10)).toBe(3);
  });

  it('follows the reports within two half-lives and changes little with a single report', () => {
    const load = createBackEndLoad();
    load.note(report(1), 0);
    for (let at = 10; at <= 500; at += 10) {
      load.note(report(2.5), at);
    }
    expect(load.slowness(500)).toBeGreaterThan(2);
    load.note(report(1), 501);
    expect(load.slowness(501)).toBeGreaterThan(2);
  });

  it('returns to usual speed after two seconds without reports, and after a reset', () => {
    const load = createBackEndLoad();
    load.note(report(3, 5), 0);
    expect(load.slowness(0)).toBe(3);
    expect(load.slowness(1_000)).toBe(2);
    expect(load.slowness(2_000)).toBe(1);
    expect(load.waiting(2_000)).toBe(0);
    load.note(report(3, 5), 2_000);
    load.reset();
    expect(load.slowness(2_000)).toBe(1);
    expect(load.waiting(2_000)).toBe(0);
  });
});
