import { describe, expect, it } from 'vitest';
import { decideRollout, type RolloutFacts } from './rolloutDecision.js';
import { RolloutPhase } from './rolloutOrder.js';

const CLEAN = {
  finished: 200,
  failed: 0,
  weight: 0,
  weightWithoutOne: 0,
  measure: 'failures',
  route: 'read',
  isBad: false,
};

const FACTS: RolloutFacts = {
  phase: RolloutPhase.Watch,
  phaseAgeMs: 9_000,
  ageMs: 9_000,
  durationMs: 12_000,
  targetAgeMs: 8_000,
  comparison: CLEAN,
  owners: 10,
  reporting: 10,
  targets: 5,
  targetSlots: 40,
  otherSlots: 40,
  demand: 20,
  busyOthers: 0,
};

const phaseOf = (facts: Partial<RolloutFacts>) => decideRollout({ ...FACTS, ...facts }).phase;

describe('decideRollout', () => {
  it('watches for most of the time, then goes on in steps', () => {
    expect(phaseOf({ ageMs: 8_000 })).toBe(RolloutPhase.Watch);
    expect(phaseOf({})).toBe(RolloutPhase.Ramp);
    expect(phaseOf({ phase: RolloutPhase.Ramp, phaseAgeMs: 500 })).toBe(RolloutPhase.Ramp);
    expect(phaseOf({ phase: RolloutPhase.Ramp, phaseAgeMs: 1_000 })).toBe(RolloutPhase.Shift);
    expect(phaseOf({ phase: RolloutPhase.Shift, phaseAgeMs: 500 })).toBe(RolloutPhase.Shift);
    expect(phaseOf({ phase: RolloutPhase.Shift, phaseAgeMs: 1_500 })).toBe(RolloutPhase.Done);
  });

  it('leaves a short order time for its last steps', () => {
    const short = { durationMs: 8_000, targetAgeMs: 5_000 };
    expect(phaseOf({ ...short, ageMs: 4_200 })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ ...short, ageMs: 4_400 })).toBe(RolloutPhase.Ramp);
  });

  it('is not done while others run something', () => {
    const shifted = { phase: RolloutPhase.Shift, phaseAgeMs: 9_000, ageMs: 30_000 };
    expect(phaseOf({ ...shifted, busyOthers: 1 })).toBe(RolloutPhase.Shift);
  });

  it('ends a bad version in every phase, and never takes that back', () => {
    const comparison = { ...CLEAN, isBad: true };
    for (const phase of [RolloutPhase.Watch, RolloutPhase.Ramp, RolloutPhase.Shift]) {
      expect(phaseOf({ phase, comparison, ageMs: 0 })).toBe(RolloutPhase.Halt);
    }
    expect(phaseOf({ phase: RolloutPhase.Halt })).toBe(RolloutPhase.Halt);
  });

  it('rolls a version back that is in doubt when its last steps cannot be over in time', () => {
    const comparison = { ...CLEAN, weight: 5, weightWithoutOne: 3 };
    const late = { comparison, durationMs: 12_000 };
    expect(phaseOf({ ...late, ageMs: 10_400 })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ ...late, ageMs: 10_600 })).toBe(RolloutPhase.Halt);
    expect(phaseOf({ ...late, ageMs: 12_100 })).toBe(RolloutPhase.Watch);
    const oneMachine = { ...comparison, weightWithoutOne: 0 };
    expect(phaseOf({ ...late, comparison: oneMachine, ageMs: 10_600 })).toBe(RolloutPhase.Watch);
  });

  it('goes back to watching in doubt, without reports or without room', () => {
    const shifted = { phase: RolloutPhase.Shift, phaseAgeMs: 2_000 };
    const doubtful = { ...CLEAN, weight: 5 };
    expect(phaseOf({ ...shifted, comparison: doubtful })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ ...shifted, reporting: 5 })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ ...shifted, targetSlots: 19 })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ ...shifted, targets: 0 })).toBe(RolloutPhase.Watch);
  });

  it('goes on where the others would have no more room for the requests either', () => {
    const crowded = { targetSlots: 40, demand: 100 };
    expect(phaseOf({ ...crowded, otherSlots: 40 })).toBe(RolloutPhase.Ramp);
    expect(phaseOf({ ...crowded, otherSlots: 41 })).toBe(RolloutPhase.Watch);
  });

  it('neither completes nor rolls back a version that never comes', () => {
    const missing = { targets: 0, targetSlots: 0, targetAgeMs: undefined };
    expect(phaseOf({ ...missing, ageMs: 60_000 })).toBe(RolloutPhase.Watch);
  });

  it('watches a version that comes late, also after the deadline', () => {
    expect(phaseOf({ targetAgeMs: 2_000 })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ ageMs: 30_000, targetAgeMs: 5_000 })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ ageMs: 30_000, targetAgeMs: 6_000 })).toBe(RolloutPhase.Ramp);
  });

  it('waits for evidence until shortly before the deadline', () => {
    const comparison = { ...CLEAN, finished: 5 };
    expect(phaseOf({ comparison })).toBe(RolloutPhase.Watch);
    expect(phaseOf({ comparison, ageMs: 9_700 })).toBe(RolloutPhase.Ramp);
  });
});
