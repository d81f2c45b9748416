/**
 * Guards against a suspension of the machine that goes unnoticed, so that old information seems
 * fresh and timers are late, and against a change of the time of day that is treated as a
 * suspension.
 */
import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { createNodeClocks } from './nodeClocks.js';
import { createSuspendAwareTimers } from './suspendAwareTimers.js';

/** A node's clocks on a simulated machine, whose time the test controls. */
function machine() {
  const readings = { steady: 1_000, timeOfDay: 1_700_000_000_000, sinceBoot: 50_000 };
  const clocks = createNodeClocks({
    monotonic: () => readings.steady,
    wallClock: () => readings.timeOfDay,
    uptime: () => readings.sinceBoot,
  });
  const suspensions: number[] = [];
  clocks.onResume((suspendedMs) => suspensions.push(suspendedMs));
  /** Lets time pass while the machine runs; `uptimeSpeed` is the speed of the uptime clock. */
  const pass = (ms: number, uptimeSpeed = 1) => {
    for (let passed = 0; passed < ms; passed += 100) {
      readings.steady += 100;
      readings.timeOfDay += 100;
      readings.sinceBoot += 100 * uptimeSpeed;
      clocks.clock.now();
    }
  };
  const suspend = (ms: number) => {
    readings.timeOfDay += ms;
    readings.sinceBoot += ms;
  };
  return { readings, clocks, suspensions, pass, suspend };
}

describe('the clocks of a node', () => {
  it('count the time of a suspension from the first reading after it', () => {
    const { clocks, suspensions, pass, suspend } = machine();
    pass(8_000);
    const before = clocks.clock.now();
    suspend(3_000);
    expect(clocks.clock.now() - before).toBe(3_000);
    expect(clocks.freshnessClock.now()).toBe(clocks.clock.now());
    suspend(2_000);
    expect(clocks.freshnessClock.now() - before).toBe(5_000);
    expect(suspensions).toEqual([3_000, 2_000]);
  });

  it('do not move when the time of day is set', () => {
    const { readings, clocks, suspensions, pass } = machine();
    pass(8_000);
    const before = clocks.clock.now();
    for (const jumpMs of [2_400, -2_400, 3_600_000, -3_600_000]) {
      readings.timeOfDay += jumpMs;
      expect(clocks.clock.now()).toBe(before);
      expect(clocks.freshnessClock.now()).toBe(before);
    }
    expect(suspensions).toEqual([]);
  });

  it('advance only the freshness clock by a jump that may have been a suspension', () => {
    const { readings, clocks, pass } = machine();
    pass(8_000, 0.4);
    const before = clocks.clock.now();
    readings.timeOfDay += 3_000;
    expect(clocks.clock.now()).toBe(before);
    expect(clocks.freshnessClock.now()).toBe(before + 3_000);
    readings.timeOfDay -= 3_000;
    expect(clocks.freshnessClock.now()).toBe(before + 3_000);
  });

  it('never go back, however the underlying clocks move', () => {
    const step = fc.record({
      steady: fc.nat(2_000),
      timeOfDay: fc.integer({ min: -10_000, max: 10_000 }),
      sinceBoot: fc.nat(10_000),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const { readings, clocks } = machine();
        let last = clocks.clock.now();
        let lastFreshness = clocks.freshnessClock.now();
        for (const { steady, timeOfDay, sinceBoot } of steps) {
          readings.steady += steady;
          readings.timeOfDay += timeOfDay;
          readings.sinceBoot += sinceBoot;
          const now = clocks.clock.now();
          const freshness = clocks.freshnessClock.now();
          expect(now - last).toBeGreaterThanOrEqual(steady);
          expect(freshness - lastFreshness).toBeGreaterThanOrEqual(steady);
          expect(freshness).toBeGreaterThanOrEqual(now);
          last = now;
          lastFreshness = freshness;
        }
      }),
      { seed: 3 },
    );
  });
});

describe('suspend-aware timers', () => {
  it('fire once, also if due during a suspension, and not after they are cancelled', async () => {
    vi.useFakeTimers();
    let resume: (suspendedMs: number) => void = () => {};
    let suspendedMs = 0;
    const timers = createSuspendAwareTimers({
      clock: { now: () => performance.now() + suspendedMs },
      onResume: (listener) => {
        resume = listener;
      },
    });
    const fired: string[] = [];
    timers.set(() => fired.push('soon'), 1_000);
    timers.set(() => fired.push('late'), 9_000);
    timers.set(() => fired.push('never'), 1_000)();
    suspendedMs = 3_000;
    resume(suspendedMs);
    await vi.advanceTimersByTimeAsync(1);
    expect(fired).toEqual(['soon']);
    await vi.advanceTimersByTimeAsync(10_000);
    vi.useRealTimers();
    expect(fired).toEqual(['soon', 'late']);
  });
});
