import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeValue, encodeValue } from '../codec/frame.js';
import { applyDifference, type Difference, differenceOf } from './difference.js';
import { shareStructure } from './sharedStructure.js';

function version(number: number, rows: readonly unknown[]) {
  return {
    version: `r${number}`,
    routes: { columns: ['name', 'service'], rows },
    limits: { a: 1 },
  };
}

function rowsOf(count: number): unknown[] {
  return Array.from({ length: count }, (_, index) => [`route-${index}`, 'desk']);
}

/** As another node gets it. */
function sent(difference: Difference): Difference {
  return decodeValue(encodeValue({ ...difference })) as Difference;
}

function copyOf<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}

describe('shareStructure', () => {
  it('keeps the identity of every row that has not changed, wherever it stands now', () => {
    const rows = rowsOf(6);
    const first = version(1, rows);
    const moved = copyOf([rows[5], rows[0], rows[1], ['new', 'vault'], rows[3], rows[4]]);
    const second = shareStructure(first, version(2, moved));
    const kept = second.routes.rows.map((row) => rows.indexOf(row));
    expect(kept).toEqual([5, 0, 1, -1, 3, 4]);
    expect(second.routes.columns).toBe(first.routes.columns);
    expect(second.limits).toBe(first.limits);
    expect(second.version).toBe('r2');
  });

  it('gives the old version itself for an equal one', () => {
    const first = version(1, rowsOf(6));
    expect(shareStructure(first, copyOf(first))).toBe(first);
  });

  it('never changes a value', () => {
    fc.assert(
      fc.property(fc.jsonValue(), fc.jsonValue(), (previous, next) => {
        const before = copyOf(next);
        expect(shareStructure(previous, next)).toEqual(before);
      }),
      { seed: 1 },
    );
  });
});

describe('a difference', () => {
  it('of one route among 1,600 is a thousandth of the whole', () => {
    const first = version(1, rowsOf(1_600));
    const rows = rowsOf(1_600).with(700, ['route-700', 'vault']);
    const second = shareStructure(first, version(2, rows));
    const difference = differenceOf(first, second);
    expect(encodeValue({ ...difference }).length).toBeLessThan(120);
    expect(encodeValue(second).length).toBeGreaterThan(25_000);
    expect(applyDifference(first, sent(difference))).toEqual(second);
  });

  it('of a key that each of 77 tenants changes is as long as those tenants', () => {
    const tenants = (key: string) =>
      Array.from({ length: 77 }, (_, index) => [`tenant-${index}`, [`${key}-${index}`], 1, 40, 8]);
    const routes = Array.from({ length: 200 }, (_, index) => [`route-${index}`, 'desk']);
    const whole = (number: number, key: string) => ({
      ...version(number, routes),
      tenants: {
        columns: ['name', 'api-keys', 'priority', 'rate-per-s', 'burst'],
        rows: tenants(key),
      },
    });
    const first = whole(1, 'first-key');
    const all = shareStructure(first, copyOf(whole(2, 'other-key')));
    const lengthOf = (next: unknown) => encodeValue({ ...differenceOf(first, next) }).length;
    expect(lengthOf(all)).toBeLessThan(encodeValue(all.tenants).length + 150);
    const rows = tenants('first-key').with(40, ['tenant-40', ['other-key'], 1, 40, 8]);
    const one = shareStructure(first, {
      ...copyOf(first),
      tenants: { ...copyOf(first.tenants), rows: copyOf(rows) },
    });
    expect(lengthOf(one)).toBeLessThan(150);
    expect(applyDifference(first, sent(differenceOf(first, all)))).toEqual(all);
  });

  it('keeps the identity of what has not changed', () => {
    const first = version(1, rowsOf(3));
    const second = shareStructure(first, version(2, [...copyOf(rowsOf(3)), ['new', 'desk']]));
    const result = applyDifference(first, sent(differenceOf(first, second))) as typeof first;
    expect(result.routes.rows[1]).toBe(first.routes.rows[1]);
    expect(result.routes.rows).toHaveLength(4);
  });

  it('is refused when it was made to another base', () => {
    const first = version(1, rowsOf(3));
    const other = version(1, [...rowsOf(2), ['other', 'desk']]);
    const second = shareStructure(first, version(2, [...copyOf(rowsOf(3)), ['new', 'desk']]));
    expect(applyDifference(other, sent(differenceOf(first, second)))).toBeUndefined();
  });

  it.each([[undefined], [[9]], [[3, [[0, 1]]]], [[2, [['a', [7]]]]], ['text']])(
    'that cannot be read is refused: %j',
    (part) => {
      const digest = Buffer.alloc(16);
      expect(applyDifference({ a: 1 }, { part, digest })).toBeUndefined();
    },
  );

  it('leads from any version to any other', () => {
    const row = fc.tuple(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.constantFrom('x', 'y'));
    const rows = fc.array(row, { maxLength: 8 });
    fc.assert(
      fc.property(rows, rows, fc.jsonValue(), (before, after, extra) => {
        const first = version(1, before);
        const second = shareStructure(first, { ...version(2, after), extra });
        const result = applyDifference(first, sent(differenceOf(first, second)));
        expect(JSON.stringify(result)).toBe(JSON.stringify(second));
      }),
      { seed: 1 },
    );
  });
});
