import { describe, expect, it } from 'vitest';
import { createFailureCounts } from './failureCounts.js';

interface TestReport {
  readonly node?: string;
  readonly route?: string;
  readonly total: number;
  readonly bad?: number;
  readonly reportedAtMs?: number;
}

function countsOf(reports: readonly TestReport[]) {
  const counts = createFailureCounts();
  for (const { node, route = 'list', total, bad = 0, reportedAtMs = 1_000 } of reports) {
    counts.addReport({ node, route, outcomes: { total, bad }, reportedAtMs });
  }
  return counts;
}

const OTHERS: TestReport = { total: 400 };

describe('FailureCounts', () => {
  // Two failures of thirteen passed the sequential test, which had discarded each one before the
  // next.
  it('puts a version in doubt that failed 2 of 13 requests on a route, at two back ends', () => {
    const counts = countsOf([
      OTHERS,
      { node: 'new-1', total: 7, bad: 1 },
      { node: 'new-2', total: 6, bad: 1 },
    ]);
    expect(counts.doubt()).toBe('2 of 13 failed list');
    expect(counts.suspect()).toBeUndefined();
  });

  it('does not doubt a version whose failures are about as likely at the others', () => {
    expect(countsOf([OTHERS, { node: 'new-1', total: 13, bad: 1 }]).doubt()).toBeUndefined();
    const failing = { total: 400, bad: 20 };
    expect(countsOf([failing, { node: 'new-1', total: 40, bad: 4 }]).doubt()).toBeUndefined();
  });

  it('clears a version by its other back ends when all failures are at one back end', () => {
    const failing = { node: 'new-1', total: 6, bad: 4 };
    const few = countsOf([OTHERS, failing, { node: 'new-2', total: 5 }]);
    expect(few.doubt()).toBe('4 of 11 failed list');
    expect(few.suspect()).toBe('new-1');
    const enough = countsOf([OTHERS, failing, { node: 'new-2', total: 12 }]);
    expect(enough.doubt()).toBeUndefined();
    expect(enough.suspect()).toBe('new-1');
  });

  it('does not doubt a version for failures that the others have at the same time', () => {
    const reports = [
      { total: 380, reportedAtMs: 1_000 },
      { total: 20, bad: 8, reportedAtMs: 5_000 },
    ];
    const sameTime = [...reports, { node: 'new-1', total: 8, bad: 3, reportedAtMs: 5_200 }];
    expect(countsOf(sameTime).doubt()).toBeUndefined();
    const later = [...reports, { node: 'new-1', total: 8, bad: 3, reportedAtMs: 9_000 }];
    expect(countsOf(later).doubt()).toBe('3 of 8 failed list');
  });

  it('returns the probability that a version which fails a tenth more has so few failures', () => {
    const clean = [OTHERS, { ...OTHERS, route: 'read' }, { node: 'new-1', total: 40 }];
    expect(countsOf(clean).chanceIfBad()).toBe(1);
    const both = [...clean, { node: 'new-2', route: 'read', total: 40 }];
    expect(countsOf(both).chanceIfBad()).toBeCloseTo(0.895 ** 40, 6);
    const failing = [...both, { node: 'new-2', total: 1, bad: 1 }];
    const one = 0.895 ** 41 + 41 * 0.105 * 0.895 ** 40;
    expect(countsOf(failing).chanceIfBad()).toBeCloseTo(one, 6);
  });

  it('requires half of the requests on a route with hardly any', () => {
    const clean = [OTHERS, { node: 'new-1', total: 80 }, { route: 'rare', total: 3 }];
    expect(countsOf(clean).chanceIfBad()).toBe(1);
    const seen = [...clean, { node: 'new-1', route: 'rare', total: 3 }];
    expect(countsOf(seen).chanceIfBad()).toBeLessThan(0.001);
  });

  it('leaves the failures of a suspect out of the probability and of the doubt', () => {
    const failing = { node: 'new-1', total: 6, bad: 4 };
    const counts = countsOf([OTHERS, failing, { node: 'new-2', total: 40 }]);
    expect(counts.chanceIfBad()).toBeCloseTo(0.895 ** 40, 6);
    expect(counts.doubtBeyondOneNode()).toBeUndefined();
  });
});
