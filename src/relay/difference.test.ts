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

/** The difference as another node receives it. */
function received(difference: Difference): Difference {
  return decodeValue(encodeValue({ ...difference })) as Difference;
}

function copyOf<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}

describe('shareStructure', () => {
  it('keeps the identity of every unchanged row, also of rows that have moved', () => {
    const rows = rowsOf(6);
    const first = version(1, rows);
    const moved = copyOf([rows[5], rows[0], rows[1], ['new', 'vault'], rows[3], rows[4]]);
    const second = shareStructure(first, version(2, moved));
    const previousIndexes = second.routes.rows.map((row) => rows.indexOf(row));
    expect(previousIndexes).toEqual([5, 0, 1, -1, 3, 4]);
    expect(second.routes.columns).toBe(first.routes.columns);
    expect(second.limits).toBe(first.limits);
    expect(second.version).toBe('r2');
  });

  it('returns the old version itself if the new one is equal', () => {
    const first = version(1, rowsOf(6));
    expect(shareStructure(first, copyOf(first))).toBe(first);
  });

  it('returns a value equal to the new version, for any two values', () => {
    fc.assert(
      fc.property(fc.jsonValue(), fc.jsonValue(), (previous, next) => {
        const before = copyOf(next);
        expect(shareStructure(previous, next)).toEqual(before);
      }),
      { seed: 1 },
    );
  });
});

describe('differenceOf and applyDifference', () => {
  it('encode a change of one route among 1,600 in less than 120 bytes', () => {
    const first = version(1, rowsOf(1_600));
    const rows = rowsOf(1_600).with(700, ['route-700', 'vault']);
    const second = shareStructure(first, version(2, rows));
    const difference = differenceOf(first, second);
    expect(encodeValue({ ...difference }).length).toBeLessThan(120);
    expect(encodeValue(second).length).toBeGreaterThan(25_000);
    expect(applyDifference(first, received(difference))).toEqual(second);
  });

  it('encode a change of the API key of all 77 tenants in about the size of the tenants', () => {
    const tenants = (key: string) =>
      Array.from({ length: 77 }, (_, index) => [`tenant-${index}`, [`${key}-${index}`], 1, 40, 8]);
    const routes = Array.from({ length: 200 }, (_, index) => [`route-${index}`, 'desk']);
    const versionWithKey = (number: number, key: string) => ({
      ...version(number, routes),
      tenants: {
        columns: ['name', 'api-keys', 'priority', 'rate-per-s', 'burst'],
        rows: tenants(key),
      },
    });
    const first = versionWithKey(1, 'first-key');
    const allChanged = shareStructure(first, copyOf(versionWithKey(2, 'other-key')));
    const lengthOf = (next: unknown) => encodeValue({ ...differenceOf(first, next) }).length;
    expect(lengthOf(allChanged)).toBeLessThan(encodeValue(allChanged.tenants).length + 150);
    const rows = tenants('first-key').with(40, ['tenant-40', ['other-key'], 1, 40, 8]);
    const oneChanged = shareStructure(first, {
      ...copyOf(first),
      tenants: { ...copyOf(first.tenants), rows: copyOf(rows) },
    });
    expect(lengthOf(oneChanged)).toBeLessThan(150);
    expect(applyDifference(first, received(differenceOf(first, allChanged)))).toEqual(allChanged);
  });

  it('keep the identity of unchanged parts', () => {
    const first = version(1, rowsOf(3));
    const second = shareStructure(first, version(2, [...copyOf(rowsOf(3)), ['new', 'desk']]));
    const result = applyDifference(first, received(differenceOf(first, second))) as typeof first;
    expect(result.routes.rows[1]).toBe(first.routes.rows[1]);
    expect(result.routes.rows).toHaveLength(4);
  });

  it('return undefined if the receiver holds another base', () => {
    const first = version(1, rowsOf(3));
    const other = version(1, [...rowsOf(2), ['other', 'desk']]);
    const second = shareStructure(first, version(2, [...copyOf(rowsOf(3)), ['new', 'desk']]));
    expect(applyDifference(other, received(differenceOf(first, second)))).toBeUndefined();
  });

  it.each([[undefined], [[9]], [[3, [[0, 1]]]], [[2, [['a', [7]]]]], ['text']])(
    'return undefined for a part that cannot be read: %j',
    (part) => {
      const digest = Buffer.alloc(16);
      expect(applyDifference({ a: 1 }, { part, digest })).toBeUndefined();
    },
  );

  it('reproduce the new version, for any two versions', () => {
    const row = fc.tuple(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.constantFrom('x', 'y'));
    const rows = fc.array(row, { maxLength: 8 });
    fc.assert(
      fc.property(rows, rows, fc.jsonValue(), (before, after, extra) => {
        const first = version(1, before);
        const second = shareStructure(first, { ...version(2, after), extra });
        const result = applyDifference(first, received(differenceOf(first, second)));
        expect(JSON.stringify(result)).toBe(JSON.stringify(second));
      }),
      { seed: 1 },
    );
  });
});
