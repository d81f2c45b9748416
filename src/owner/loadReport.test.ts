import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { readLoadReport } from './loadReport.js';

describe('readLoadReport', () => {
  it('parses three numbers, optionally followed by the slowness in percent', () => {
    expect(readLoadReport('3,0,8')).toEqual({
      running: 3,
      waiting: 0,
      slots: 8,
      slowness: undefined,
    });
    expect(readLoadReport('3, 1, 8, 250')).toEqual({
      running: 3,
      waiting: 1,
      slots: 8,
      slowness: 2.5,
    });
  });

  it('returns undefined if a number is missing, negative, too large, fractional or a word', () => {
    const invalid = [
      '',
      '3',
      '3,0',
      '3,0,0',
      '-1,0,8',
      '1e3,0,8',
      '3,0,8.5',
      '3,zero,8',
      '3,0,99999999',
    ];
    for (const text of [...invalid, undefined, 7, ['3,0,8']]) {
      expect(readLoadReport(text)).toBeUndefined();
    }
  });

  it('keeps the other numbers if the slowness is implausible or invalid', () => {
    for (const slowness of ['0', '-50', '5', '99999', 'slow', '']) {
      expect(readLoadReport(`3,0,8,${slowness}`)).toMatchObject({ slots: 8, slowness: undefined });
    }
  });

  it('never throws and returns only integer counts, for any text', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        const report = readLoadReport(text);
        if (report) {
          expect(Number.isInteger(report.running) && Number.isInteger(report.waiting)).toBe(true);
          expect(report.slots).toBeGreaterThan(0);
        }
      }),
      { seed: 31, numRuns: 500 },
    );
  });
});
