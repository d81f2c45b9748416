import { describe, expect, it } from 'vitest';
import { priorityOf } from './priority.js';

describe('priorityOf', () => {
  it('puts the tenant before the route, and the route before nothing', () => {
    const urgent = priorityOf({ priority: 0 }, { priority: 255 });
    const plain = priorityOf({ priority: 1 }, { priority: 0 });
    const plainOnLongRoute = priorityOf({ priority: 1 }, { priority: 2 });
    expect([plainOnLongRoute, urgent, plain].sort((left, right) => left - right)).toEqual([
      urgent,
      plain,
      plainOnLongRoute,
    ]);
  });

  it('keeps the order of routes where there are no tenants', () => {
    const known = [0, 1, 2, 255].map((priority) => priorityOf(undefined, { priority }));
    expect(known).toEqual([...known].sort((left, right) => left - right));
    expect(priorityOf({ priority: undefined }, { priority: 2 })).toBe(
      priorityOf(undefined, { priority: 2 }),
    );
  });
});
