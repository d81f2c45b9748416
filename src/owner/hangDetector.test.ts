import { describe, expect, it } from 'vitest';
import { createHangDetector, type HangDetector } from './hangDetector.js';

const SLOTS = 8;
const USUAL_MS = 200;

/** Sends runs every 25 ms; those that hang are never answered, the others after `tookMs`. */
function play(
  watch: HangDetector,
  { runs, hangs, tookMs }: { runs: number; hangs: (run: number) => boolean; tookMs: number },
): { overdue: number; hung: number } {
  const works: { work: ReturnType<HangDetector['begin']>; run: number; at: number }[] = [];
  let overdue = 0;
  let hung = 0;
  for (let now = 0; now < runs * 25 + 3_000; now += 25) {
    const run = now / 25;
    for (const { work, at, run: each } of works) {
      if (!hangs(each) && now === at + tookMs) {
        watch.end(work, true, now);
      }
    }
    if (run < runs) {
      works.push({ work: watch.begin(now), run, at: now });
    }
    for (const { work, at, run: each } of works) {
      const isOpen = hangs(each) || now < at + tookMs;
      if (isOpen && now - at === watch.firstCheckMs(USUAL_MS)) {
        const finding = watch.check(work, USUAL_MS, SLOTS, now);
        overdue += finding.isNewlyOverdue ? 1 : 0;
        hung += finding.isHung ? 1 : 0;
      }
    }
  }
  return { overdue, hung };
}

describe('the watch for back ends that hang', () => {
  it('finds runs that are never answered, once some have shown it', () => {
    const { overdue, hung } = play(createHangDetector(), {
      runs: 200,
      hangs: (run) => run % 2 === 1,
      tookMs: 200,
    });
    // Nothing overtakes the last ones.
    expect(overdue).toBeGreaterThan(90);
    expect(hung).toBeGreaterThan(85);
  });

  it('leaves a back end alone that is five times as slow', () => {
    const { overdue, hung } = play(createHangDetector(), {
      runs: 200,
      hangs: () => false,
      tookMs: 1_000,
    });
    // Only before its first answer is it silent for all that is known.
    expect(overdue).toBeLessThan(20);
    expect(hung).toBe(0);
  });

  it('leaves long work alone at a back end that answers all', () => {
    const watch = createHangDetector();
    const { hung } = play(watch, { runs: 400, hangs: (run) => run % 33 === 5, tookMs: 200 });
    expect(hung).toBe(0);
  });

  it('finds a back end that answers nobody, by its silence alone', () => {
    const watch = createHangDetector();
    const works = Array.from({ length: SLOTS }, () => watch.begin(0));
    const early = works.map((work) => watch.check(work, USUAL_MS, SLOTS, 650));
    expect(early.every(({ isNewlyOverdue }) => !isNewlyOverdue)).toBe(true);
    expect(early.every(({ recheckMs }) => recheckMs === 650)).toBe(true);
    const late = works.map((work) => watch.check(work, USUAL_MS, SLOTS, 1_300));
    expect(late.at(-1)).toEqual({ isNewlyOverdue: true, isHung: true, recheckMs: undefined });
  });

  it('forgets with the back end', () => {
    const watch = createHangDetector();
    play(watch, { runs: 100, hangs: () => true, tookMs: 200 });
    watch.reset();
    const work = watch.begin(10_000);
    expect(watch.check(work, USUAL_MS, SLOTS, 10_100).isHung).toBe(false);
  });
});
