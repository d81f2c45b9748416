import { describe, expect, it } from 'vitest';
import { createCallRates } from './callRates.js';

const WINDOW_MS = 10_000;
const STEP_MS = 100;

/** Runs at an even pace; each makes the calls. */
function createRatesOf(runs: number, calls: readonly string[]) {
  const rates = createCallRates();
  for (let run = 0; run < runs; run += 1) {
    rates.noteRun(run * STEP_MS);
    for (const service of calls) {
      rates.noteCall(service, run * STEP_MS);
    }
  }
  return rates;
}

describe('createCallRates', () => {
  it('reports the calls to each service for each run', () => {
    const rates = createRatesOf(80, ['vault', 'vault', 'store']);
    expect(rates.current(80 * STEP_MS)).toEqual([
      { service: 'vault', perRun: 2 },
      { service: 'store', perRun: 1 },
    ]);
  });

  it('reports nothing before it has seen enough runs, and keeps what it knew when runs get few', () => {
    expect(createRatesOf(5, ['vault']).current(1_000)).toBeUndefined();
    const rates = createRatesOf(80, ['vault']);
    const known = rates.current(80 * STEP_MS);
    expect(rates.current(80 * STEP_MS + 2 * WINDOW_MS)).toEqual(known);
  });

  it('reports that a back end makes no calls', () => {
    expect(createRatesOf(80, []).current(80 * STEP_MS)).toEqual([]);
  });
});
