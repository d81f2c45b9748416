import { describe, expect, it } from 'vitest';
import { readBackEndNotice } from './backEndNotice.js';
import { DEFAULT_HEADER_NAMES as NAMES } from './header-names.js';

function noticeOf(fields: Readonly<Record<string, string>>) {
  const headers = Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [name.toLowerCase(), value]),
  );
  const { limitPerS, isLeaving } = readBackEndNotice(headers, NAMES);
  return { limitPerS: limitPerS.extract(), isLeaving: isLeaving.extract() };
}

describe('readBackEndNotice', () => {
  it('reads a limit as a decimal number of requests per second', () => {
    for (const [text, limitPerS] of [
      ['5', 5],
      ['2.4', 2.4],
      ['0.25', 0.25],
      ['.5', 0.5],
      ['3.', 3],
      ['0', 0],
    ] as const) {
      expect(noticeOf({ [NAMES.limit]: text })).toEqual({ limitPerS, isLeaving: false });
    }
  });

  it('reads an answer without the fields as no limit and not leaving', () => {
    expect(noticeOf({})).toEqual({ limitPerS: undefined, isLeaving: false });
  });

  it('reads that the back end is leaving', () => {
    expect(noticeOf({ [NAMES.leaving]: '1' })).toEqual({ limitPerS: undefined, isLeaving: true });
  });

  it.each(['', 'many', '-1', '1e3', 'NaN', 'Infinity', '5, 5', '5/s', '0x10', '1234567890'])(
    'reports the limit "%s" as a finding with its place',
    (text) => {
      expect(noticeOf({ [NAMES.limit]: text }).limitPerS).toEqual({
        code: 'unreadable-header',
        path: NAMES.limit,
        message: `expected a decimal number of requests per second, found "${text}"`,
      });
    },
  );

  it.each(['', '0', 'true', '1, 1'])('reports the leaving field "%s" as a finding', (text) => {
    expect(noticeOf({ [NAMES.leaving]: text }).isLeaving).toMatchObject({
      code: 'unreadable-header',
      path: NAMES.leaving,
    });
  });
});
