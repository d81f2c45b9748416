import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { createNodeClocks } from './nodeClocks.js';
import { createSuspendAwareTimers } from './suspendAwareTimers.js';

/** Clocks of a machine that the test moves. */
function machine() {
  const world = { steady: 1_000, timeOfDay: 1_700_000_000_000, sinceBoot: 50_000 };
  const clocks = createNodeClocks({
    monotonic: () => world.steady,
    wallClock: () => world.timeOfDay,
    uptime: () => world.sinceBoot,
  });
  const woken: number[] = [];
  clocks.onResume((sleptMs) => woken.push(sleptMs));
  /** Time passes while the machine is up; `bootSpeed` is that of the clock since its start. */
  const pass = (ms: number, bootSpeed = 1) => {
    for (let passed = 0; passed < ms; passed += 100) {
      world.steady += 100;
      world.timeOfDay += 100;
      world.sinceBoot += 100 * bootSpeed;
      clocks.clock.now();
    }
  };
  const suspend = (ms: number) => {
    world.timeOfDay += ms;
    world.sinceBoot += ms;
  };
  return { world, clocks, woken, pass, suspend };
}

describe('the clocks of a node', () => {
  it('count a suspension from the first reading after it', () => {
    const { clocks, woken, pass, suspend } = machine();
    pass(8_000);
    const before = clocks.clock.now();
    suspend(3_000);
    expect(clocks.clock.now() - before).toBe(3_000);
    expect(clocks.freshnessClock.now()).toBe(clocks.clock.now());
    suspend(2_000);
    expect(clocks.freshnessClock.now() - before).toBe(5_000);
    expect(woken).toEqual([3_000, 2_000]);
  });

  it('do not move when the time of day is set', () => {
    const { world, clocks, woken, pass } = machine();
    pass(8_000);
    const before = clocks.clock.now();
    for (const jumpMs of [2_400, -2_400, 3_600_000, -3_600_000]) {
      world.timeOfDay += jumpMs;
      expect(clocks.clock.now()).toBe(before);
      expect(clocks.freshnessClock.now()).toBe(before);
    }
    expect(woken).toEqual([]);
  });

  it('let beliefs alone grow older by a jump that may have been a suspension', () => {
    const { world, clocks, pass } = machine();
    pass(8_000, 0.4);
    const before = clocks.clock.now();
    world.timeOfDay += 3_000;
    expect(clocks.clock.now()).toBe(before);
    expect(clocks.freshnessClock.now()).toBe(before + 3_000);
    world.timeOfDay -= 3_000;
    expect(clocks.freshnessClock.now()).toBe(before + 3_000);
  });

  it('never go back, whatever the other clocks do', () => {
    const step = fc.record({
      steady: fc.nat(2_000),
      timeOfDay: fc.integer({ min: -10_000, max: 10_000 }),
      sinceBoot: fc.nat(10_000),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const { world, clocks } = machine();
        let last = clocks.clock.now();
        let lastBelief = clocks.freshnessClock.now();
        for (const { steady, timeOfDay, sinceBoot } of steps) {
          world.steady += steady;
          world.timeOfDay += timeOfDay;
          world.sinceBoot += sinceBoot;
          const now = clocks.clock.now();
          const belief = clocks.freshnessClock.now();
          expect(now - last).toBeGreaterThanOrEqual(steady);
          expect(belief - lastBelief).toBeGreaterThanOrEqual(steady);
          expect(belief).toBeGreaterThanOrEqual(now);
          last = now;
          lastBelief = belief;
        }
      }),
      { seed: 3 },
    );
  });
});

describe('alarms', () => {
  it('ring once, also when their time has passed asleep, and not when taken back', async () => {
    vi.useFakeTimers();
    let wake: (sleptMs: number) => void = () => {};
    let sleptMs = 0;
    const alarms = createSuspendAwareTimers({
      clock: { now: () => performance.now() + sleptMs },
      onResume: (listener) => {
        wake = listener;
      },
    });
    const rung: string[] = [];
    alarms.set(() => rung.push('soon'), 1_000);
    alarms.set(() => rung.push('late'), 9_000);
    alarms.set(() => rung.push('never'), 1_000)();
    sleptMs = 3_000;
    wake(sleptMs);
    await vi.advanceTimersByTimeAsync(1);
    expect(rung).toEqual(['soon']);
    await vi.advanceTimersByTimeAsync(10_000);
    vi.useRealTimers();
    expect(rung).toEqual(['soon', 'late']);
  });
});
