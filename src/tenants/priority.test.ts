import { describe, expect, it } from 'vitest';
import { priorityOf } from './priority.js';

describe('priorityOf', () => {
  it('orders by the priority of the tenant first and of the route second', () => {
    const urgent = priorityOf({ priority: 0 }, { priority: 255 });
    const normal = priorityOf({ priority: 1 }, { priority: 0 });
    const normalOnLaterRoute = priorityOf({ priority: 1 }, { priority: 2 });
    expect([normalOnLaterRoute, urgent, normal].sort((left, right) => left - right)).toEqual([
      urgent,
      normal,
      normalOnLaterRoute,
    ]);
  });

  it('keeps the order of routes without tenants', () => {
    const priorities = [0, 1, 2, 255].map((priority) => priorityOf(undefined, { priority }));
    expect(priorities).toEqual([...priorities].sort((left, right) => left - right));
    expect(priorityOf({ priority: undefined }, { priority: 2 })).toBe(
      priorityOf(undefined, { priority: 2 }),
    );
  });
});
