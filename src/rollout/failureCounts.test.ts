import { describe, expect, it } from 'vitest';
import { createFailureCounts } from './failureCounts.js';

interface Told {
  readonly node?: string;
  readonly route?: string;
  readonly total: number;
  readonly bad?: number;
  readonly reportedAtMs?: number;
}

function countsOf(reports: readonly Told[]) {
  const counts = createFailureCounts();
  for (const { node, route = 'list', total, bad = 0, reportedAtMs = 1_000 } of reports) {
    counts.addReport({ node, route, outcomes: { total, bad }, reportedAtMs });
  }
  return counts;
}

const OTHERS: Told = { total: 400 };

describe('FailureCounts', () => {
  // Two of thirteen once passed, since each was forgotten by itself.
  it('doubts a version of which two of thirteen failed on a route, on two back ends', () => {
    const counts = countsOf([
      OTHERS,
      { node: 'new-1', total: 7, bad: 1 },
      { node: 'new-2', total: 6, bad: 1 },
    ]);
    expect(counts.doubt()).toBe('2 of 13 failed list');
    expect(counts.suspect()).toBeUndefined();
  });

  it('does not doubt one whose single failure is as likely at the others', () => {
    expect(countsOf([OTHERS, { node: 'new-1', total: 13, bad: 1 }]).doubt()).toBeUndefined();
    const failing = { total: 400, bad: 20 };
    expect(countsOf([failing, { node: 'new-1', total: 40, bad: 4 }]).doubt()).toBeUndefined();
  });

  it('clears a version by its other back ends when all failures are at one', () => {
    const failing = { node: 'new-1', total: 6, bad: 4 };
    const few = countsOf([OTHERS, failing, { node: 'new-2', total: 5 }]);
    expect(few.doubt()).toBe('4 of 11 failed list');
    expect(few.suspect()).toBe('new-1');
    const enough = countsOf([OTHERS, failing, { node: 'new-2', total: 12 }]);
    expect(enough.doubt()).toBeUndefined();
    expect(enough.suspect()).toBe('new-1');
  });

  it('does not doubt a version for what the others showed at the same moment', () => {
    const reports = [
      { total: 380, reportedAtMs: 1_000 },
      { total: 20, bad: 8, reportedAtMs: 5_000 },
    ];
    const then = [...reports, { node: 'new-1', total: 8, bad: 3, reportedAtMs: 5_200 }];
    expect(countsOf(then).doubt()).toBeUndefined();
    const later = [...reports, { node: 'new-1', total: 8, bad: 3, reportedAtMs: 9_000 }];
    expect(countsOf(later).doubt()).toBe('3 of 8 failed list');
  });

  it('tells how often a version that fails a tenth more would show as little', () => {
    const well = [OTHERS, { ...OTHERS, route: 'read' }, { node: 'new-1', total: 40 }];
    expect(countsOf(well).chanceIfBad()).toBe(1);
    const both = [...well, { node: 'new-2', route: 'read', total: 40 }];
    expect(countsOf(both).chanceIfBad()).toBeCloseTo(0.895 ** 40, 6);
    const failing = [...both, { node: 'new-2', total: 1, bad: 1 }];
    const one = 0.895 ** 41 + 41 * 0.105 * 0.895 ** 40;
    expect(countsOf(failing).chanceIfBad()).toBeCloseTo(one, 6);
  });

  it('wants half of the requests of a route that has hardly any', () => {
    const well = [OTHERS, { node: 'new-1', total: 80 }, { route: 'rare', total: 3 }];
    expect(countsOf(well).chanceIfBad()).toBe(1);
    const seen = [...well, { node: 'new-1', route: 'rare', total: 3 }];
    expect(countsOf(seen).chanceIfBad()).toBeLessThan(0.001);
  });

  it('leaves a machine in trouble out of that', () => {
    const failing = { node: 'new-1', total: 6, bad: 4 };
    const counts = countsOf([OTHERS, failing, { node: 'new-2', total: 40 }]);
    expect(counts.chanceIfBad()).toBeCloseTo(0.895 ** 40, 6);
    expect(counts.doubtBeyondOneNode()).toBeUndefined();
  });
});
