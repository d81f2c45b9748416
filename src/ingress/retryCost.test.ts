import { describe, expect, it } from 'vitest';
import type { CallRate } from '../owner/callRates.js';
import { retryCostOf } from './retryCost.js';

const ratesOf =
  (rates: Readonly<Record<string, readonly CallRate[]>>) =>
  (service: string): readonly CallRate[] =>
    rates[service] ?? [];

describe('retryCostOf', () => {
  it('is one arrival for a service that calls no other', () => {
    expect([...retryCostOf('desk', ratesOf({}))]).toEqual([['desk', 1]]);
  });

  it('holds the calls of the run and those that they make in turn', () => {
    const rates = {
      desk: [{ service: 'vault', perRun: 2 }],
      vault: [
        { service: 'store', perRun: 1.5 },
        { service: 'desk', perRun: 0.25 },
      ],
      store: [],
    };
    const cost = retryCostOf('desk', ratesOf({ ...rates, desk: rates.desk }));
    expect(cost.get('vault')).toBeGreaterThanOrEqual(2);
    expect(cost.get('store')).toBeCloseTo((cost.get('vault') ?? 0) * 1.5, 1);
  });

  it('ends with services that call each other without end', () => {
    const rates = {
      desk: [{ service: 'vault', perRun: 1 }],
      vault: [{ service: 'desk', perRun: 1 }],
    };
    const cost = retryCostOf('desk', ratesOf(rates));
    expect(cost.get('desk')).toBe(6);
    expect(cost.get('vault')).toBe(5);
  });
});
