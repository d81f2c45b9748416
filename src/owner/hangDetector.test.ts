import { describe, expect, it } from 'vitest';
import { createHangDetector, type HangDetector } from './hangDetector.js';

const SLOTS = 8;
const USUAL_MS = 200;

/** Sends a run every 25 ms. Runs that hang are never answered, the others after `tookMs`. */
function simulate(
  detector: HangDetector,
  { runs, hangs, tookMs }: { runs: number; hangs: (run: number) => boolean; tookMs: number },
): { overdue: number; hung: number } {
  const sentRuns: { pending: ReturnType<HangDetector['begin']>; run: number; at: number }[] = [];
  let overdue = 0;
  let hung = 0;
  for (let now = 0; now < runs * 25 + 3_000; now += 25) {
    const run = now / 25;
    for (const { pending, at, run: each } of sentRuns) {
      if (!hangs(each) && now === at + tookMs) {
        detector.end(pending, true, now);
      }
    }
    if (run < runs) {
      sentRuns.push({ pending: detector.begin(now), run, at: now });
    }
    for (const { pending, at, run: each } of sentRuns) {
      const isOpen = hangs(each) || now < at + tookMs;
      if (isOpen && now - at === detector.firstCheckMs(USUAL_MS)) {
        const result = detector.check(pending, USUAL_MS, SLOTS, now);
        overdue += result.isNewlyOverdue ? 1 : 0;
        hung += result.isHung ? 1 : 0;
      }
    }
  }
  return { overdue, hung };
}

describe('createHangDetector', () => {
  it('detects runs that are never answered once enough runs have been overdue', () => {
    const { overdue, hung } = simulate(createHangDetector(), {
      runs: 200,
      hangs: (run) => run % 2 === 1,
      tookMs: 200,
    });
    // No later runs overtake the last ones.
    expect(overdue).toBeGreaterThan(90);
    expect(hung).toBeGreaterThan(85);
  });

  it('detects no hung runs at a back end that is five times slower than usual', () => {
    const { overdue, hung } = simulate(createHangDetector(), {
      runs: 200,
      hangs: () => false,
      tookMs: 1_000,
    });
    // Only before its first answer can the back end seem silent.
    expect(overdue).toBeLessThan(20);
    expect(hung).toBe(0);
  });

  it('detects no hung runs if only a few runs take long', () => {
    const detector = createHangDetector();
    const { hung } = simulate(detector, { runs: 400, hangs: (run) => run % 33 === 5, tookMs: 200 });
    expect(hung).toBe(0);
  });

  it('detects a back end that answers no run at all, without later answers', () => {
    const detector = createHangDetector();
    const runs = Array.from({ length: SLOTS }, () => detector.begin(0));
    const early = runs.map((run) => detector.check(run, USUAL_MS, SLOTS, 650));
    expect(early.every(({ isNewlyOverdue }) => !isNewlyOverdue)).toBe(true);
    expect(early.every(({ recheckMs }) => recheckMs === 650)).toBe(true);
    const late = runs.map((run) => detector.check(run, USUAL_MS, SLOTS, 1_300));
    expect(late.at(-1)).toEqual({ isNewlyOverdue: true, isHung: true, recheckMs: undefined });
  });

  it('discards the share of overdue runs on a reset', () => {
    const detector = createHangDetector();
    simulate(detector, { runs: 100, hangs: () => true, tookMs: 200 });
    detector.reset();
    const run = detector.begin(10_000);
    expect(detector.check(run, USUAL_MS, SLOTS, 10_100).isHung).toBe(false);
  });
});
