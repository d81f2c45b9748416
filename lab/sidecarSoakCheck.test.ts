import { describe, expect, it } from 'vitest';
import {
  checkCrashing,
  checkFleet,
  checkSoak,
  type SoakRequest,
  SoakRule,
  type SoakRun,
} from './sidecarSoakCheck.js';

const MAX_ATTEMPTS = 2;

function request(overrides: Partial<SoakRequest> = {}): SoakRequest {
  return {
    id: 'r',
    repeatable: false,
    bodyBytes: 10,
    status: 200,
    answer: 'answer to r',
    afterFaults: false,
    ...overrides,
  };
}

const run: SoakRun = { id: 'r', bodyBytes: 10, hasReadBody: true };

function rules(requests: SoakRequest[], runs: SoakRun[]): SoakRule[] {
  return checkSoak(requests, runs, MAX_ATTEMPTS).map(({ rule }) => rule);
}

describe('checkSoak', () => {
  it('finds nothing in what is right', () => {
    expect(rules([request()], [run])).toEqual([]);
    expect(rules([request({ status: 503 })], [])).toEqual([]);
    expect(rules([request({ status: 502 })], [run])).toEqual([]);
    expect(rules([request({ repeatable: true })], [run, run])).toEqual([]);
    expect(rules([request()], [{ ...run, bodyBytes: 0, hasReadBody: false }])).toEqual([]);
  });

  it.each([
    [SoakRule.Mixed, request({ answer: 'answer to s' }), [run]],
    [SoakRule.Twice, request(), [run, run]],
    [SoakRule.Refused, request({ status: 503 }), [run]],
    [SoakRule.Attempts, request({ repeatable: true }), [run, run, run]],
    [SoakRule.Unasked, request(), [{ ...run, bodyBytes: 9 }]],
    [SoakRule.Unasked, request(), [{ ...run, id: 'other' }, run]],
    [SoakRule.Recover, request({ status: 503, afterFaults: true }), []],
  ])('finds %s', (rule, asked, runs) => {
    expect(rules([asked], runs)).toEqual([rule]);
  });
});

describe('checkFleet', () => {
  it('names a node that is behind, and one that is not known', () => {
    const nodes = [
      { name: 'a', version: 3 },
      { name: 'b', version: 2 },
      { name: 'c', version: undefined },
    ];
    expect(checkFleet({ newest: 3, nodes }).map(({ rule }) => rule)).toEqual([
      SoakRule.Config,
      SoakRule.Lapsed,
    ]);
    expect(checkFleet({ newest: 3, nodes: nodes.slice(0, 1) })).toEqual([]);
  });
});

describe('checkCrashing', () => {
  const runsAt = (...times: number[]) => times.map((at) => ({ mark: 'a', at }));

  it('allows three crashes, what is under way then, and three more', () => {
    expect(checkCrashing(runsAt(0, 1, 2, 900, 5_000, 6_000, 7_000), [], 1_000)).toEqual([]);
  });

  it('names a request that is sent on, but for the time in which nodes were out of touch', () => {
    const runs = runsAt(0, 1, 2, 5_000, 6_000, 7_000, 8_000);
    expect(checkCrashing(runs, [], 1_000)).toMatchObject([{ rule: SoakRule.Crashing }]);
    expect(checkCrashing(runs, [{ from: 5_500, until: 5_800 }], 1_000)).toEqual([]);
    expect(checkCrashing(runs, [{ from: 3_000, until: 3_500 }], 1_000)).toHaveLength(1);
  });
});
