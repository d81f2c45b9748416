import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  type CrashAnnouncement,
  type CrashTracker,
  createCrashTracker,
  QUARANTINE_MS,
  QuarantineStatus,
  type RequestKey,
} from './crashTracker.js';

const CULPRIT = { fingerprint: 'c0', caller: 'desk' };

const other = (index: number) => ({ fingerprint: `other-${index}`, caller: 'desk' });

/**
 * Records a crash with these requests in flight, which began when the earlier crashes were known.
 */
function crash(tracker: CrashTracker, instance: string, keys: readonly RequestKey[], now: number) {
  const inFlight = keys.map((key) => ({
    ...key,
    hadPriorCrash: tracker.crashesOf(key.fingerprint) > 0,
  }));
  return tracker.noteCrash(instance, inFlight, now);
}

/** Two crashes with the culprit and others in flight, then one with the culprit alone. */
function quarantineCulprit(tracker: CrashTracker, now = 0): CrashAnnouncement {
  crash(tracker, 'i-1', [CULPRIT, other(1)], now);
  crash(tracker, 'i-2', [other(2), CULPRIT], now);
  return crash(tracker, 'i-3', [CULPRIT], now);
}

describe('CrashTracker', () => {
  it('suspects a request after two crashes, and quarantines it after a third one alone', () => {
    const tracker = createCrashTracker();
    crash(tracker, 'i-1', [CULPRIT, other(1)], 0);
    expect(tracker.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Clear);
    crash(tracker, 'i-2', [CULPRIT, other(2)], 0);
    expect(tracker.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Suspect);
    expect(tracker.statusOf(other(2), 0)).toBe(QuarantineStatus.Clear);
    expect(crash(tracker, 'i-3', [CULPRIT], 0).quarantined).toEqual([CULPRIT]);
    expect(tracker.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Quarantined);
    expect(tracker.crashesOf(CULPRIT.fingerprint)).toBe(3);
  });

  it('quarantines no request that was alone on back ends which ended together', () => {
    const tracker = createCrashTracker();
    const first = { ...CULPRIT, hadPriorCrash: false };
    for (const instance of ['i-1', 'i-2', 'i-3']) {
      expect(tracker.noteCrash(instance, [first], 0).quarantined).toEqual([]);
    }
    expect(tracker.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Suspect);
    expect(tracker.noteCompleted(CULPRIT, 1)?.cleared).toEqual([CULPRIT]);
  });

  it('treats a request that ran twice on one back end as alone', () => {
    const tracker = createCrashTracker();
    crash(tracker, 'i-1', [CULPRIT, other(1)], 0);
    expect(crash(tracker, 'i-2', [CULPRIT, CULPRIT], 0).quarantined).toEqual([CULPRIT]);
  });

  it('quarantines no request for crashes with others in flight, however many', () => {
    const tracker = createCrashTracker();
    for (let index = 0; index < 9; index += 1) {
      crash(tracker, `i-${index}`, [CULPRIT, other(index)], index);
    }
    expect(tracker.statusOf(CULPRIT, 9)).toBe(QuarantineStatus.Suspect);
    expect(tracker.quarantined(9)).toEqual([]);
  });

  // Guards against requests that are never quarantined because clients keep leaving beside them.
  it('quarantines a suspect that crashed a back end beside abandoned requests', () => {
    const tracker = createCrashTracker();
    crash(tracker, 'i-1', [CULPRIT, other(1)], 0);
    crash(tracker, 'i-2', [CULPRIT, other(2)], 0);
    const inFlight = [
      { ...CULPRIT, hadPriorCrash: true },
      { ...other(3), hadPriorCrash: false, isAbandoned: true },
    ];
    expect(tracker.noteCrash('i-3', inFlight, 0).quarantined).toEqual([CULPRIT]);
    expect(tracker.statusOf(other(3), 0)).toBe(QuarantineStatus.Clear);
  });

  it.each([
    ['no suspect yet', [], { ...other(3), hadPriorCrash: false, isAbandoned: true }],
    ['beside one that runs', ['i-2'], { ...other(3), hadPriorCrash: false }],
    [
      'beside an abandoned one with a crash',
      ['i-2'],
      { ...other(1), hadPriorCrash: true, isAbandoned: true },
    ],
  ])('quarantines no request that was %s', (_case, earlier, beside) => {
    const tracker = createCrashTracker();
    for (const instance of ['i-1', ...earlier]) {
      crash(tracker, instance, [CULPRIT, other(1)], 0);
    }
    const inFlight = [{ ...CULPRIT, hadPriorCrash: true }, beside];
    expect(tracker.noteCrash('i-3', inFlight, 0).quarantined).toEqual([]);
  });

  it('counts an incarnation once when another node announces it as well', () => {
    const tracker = createCrashTracker();
    const announcement = crash(tracker, 'i-1', [CULPRIT, other(1)], 0);
    tracker.applyAnnouncement(announcement, 1);
    expect(tracker.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Clear);
  });

  it('clears a suspect that completes, and announces it', () => {
    const tracker = createCrashTracker();
    crash(tracker, 'i-1', [CULPRIT, other(1)], 0);
    crash(tracker, 'i-2', [CULPRIT, other(2)], 0);
    const second = createCrashTracker();
    crash(second, 'i-1', [CULPRIT, other(1)], 0);
    crash(second, 'i-2', [CULPRIT, other(2)], 0);
    const announcement = tracker.noteCompleted(CULPRIT, 1);
    expect(announcement?.cleared).toEqual([CULPRIT]);
    expect(tracker.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Clear);
    second.applyAnnouncement(announcement as CrashAnnouncement, 1);
    expect(second.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Clear);
    expect(tracker.noteCompleted(other(5), 1)).toBeUndefined();
  });

  it('does not suspect a request that has just completed, unless it was alone', () => {
    const tracker = createCrashTracker();
    const popular = other(0);
    for (let index = 0; index < 5; index += 1) {
      tracker.noteCompleted(popular, index);
      crash(tracker, `i-${index}`, [CULPRIT, popular], index);
    }
    expect(tracker.statusOf(popular, 5)).toBe(QuarantineStatus.Clear);
    crash(tracker, 'i-6', [popular], 6);
    expect(crash(tracker, 'i-7', [popular], 6).quarantined).toEqual([popular]);
  });

  it('tracks callers separately: the next one runs alone, and is cleared if it completes', () => {
    const tracker = createCrashTracker();
    quarantineCulprit(tracker);
    const second = { ...CULPRIT, caller: 'vault' };
    expect(tracker.statusOf(second, 0)).toBe(QuarantineStatus.Suspect);
    tracker.noteCompleted(second, 1);
    expect(tracker.statusOf(second, 1)).toBe(QuarantineStatus.Clear);
    expect(tracker.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Quarantined);
    const third = { ...CULPRIT, caller: 'third' };
    expect(crash(tracker, 'i-9', [third], 1).quarantined).toEqual([third]);
  });

  it('lets a request run alone once more after its quarantine, or when that is lifted', () => {
    const tracker = createCrashTracker();
    quarantineCulprit(tracker);
    expect(tracker.quarantineLeftMs(CULPRIT, QUARANTINE_MS - 5)).toBe(5);
    expect(tracker.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Suspect);
    crash(tracker, 'i-4', [CULPRIT], QUARANTINE_MS);
    expect(tracker.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Quarantined);
    tracker.lift(CULPRIT);
    expect(tracker.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Suspect);
  });

  it('applies a quarantine from another node or the store, also without a known crash', () => {
    const tracker = createCrashTracker();
    const fromNode = createCrashTracker();
    expect(fromNode.applyAnnouncement(quarantineCulprit(tracker), 0)).toEqual([CULPRIT]);
    expect(fromNode.applyAnnouncement(quarantineCulprit(tracker), 0)).toEqual([]);
    const fromStore = createCrashTracker();
    expect(fromStore.applyQuarantine(CULPRIT, 0)).toBe(true);
    expect(fromStore.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Quarantined);
    expect(fromStore.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Suspect);
  });

  it('applies a suspicion from the store, unless the request has just completed here', () => {
    const tracker = createCrashTracker();
    tracker.applySuspicion(CULPRIT, 2, 0);
    expect(tracker.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Suspect);
    expect(crash(tracker, 'i-1', [CULPRIT], 1).quarantined).toEqual([CULPRIT]);
    tracker.noteCompleted(other(1), 0);
    tracker.applySuspicion(other(1), 2, 1);
    expect(tracker.statusOf(other(1), 1)).toBe(QuarantineStatus.Clear);
  });

  it('drops a suspicion after its time, and keeps quarantines in a flood of other requests', () => {
    const tracker = createCrashTracker();
    quarantineCulprit(tracker);
    for (let index = 0; index < 5_000; index += 1) {
      crash(tracker, `flood-${index}`, [other(index), other(index + 10_000)], 1);
    }
    expect(tracker.statusOf(CULPRIT, 2)).toBe(QuarantineStatus.Quarantined);
    const beside = createCrashTracker();
    crash(beside, 'i-1', [CULPRIT, other(1)], 0);
    crash(beside, 'i-2', [CULPRIT, other(1)], 0);
    expect(beside.statusOf(CULPRIT, 600_001)).toBe(QuarantineStatus.Clear);
  });

  it('never quarantines a request that crashed no back end alone, in any order of events', () => {
    const event = fc.record({
      kind: fc.constantFrom('crash', 'completed'),
      instance: fc.nat(6),
      requests: fc.uniqueArray(fc.nat(4), { minLength: 1, maxLength: 4 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 40 }), (events) => {
        const tracker = createCrashTracker();
        const crashedAlone = new Set<string>();
        events.forEach(({ kind, instance, requests }, now) => {
          const keys = requests.map(other);
          if (kind === 'completed') {
            for (const key of keys) {
              tracker.noteCompleted(key, now);
            }
          } else {
            crash(tracker, `i-${instance}`, keys, now);
            if (keys.length === 1) {
              crashedAlone.add(keys[0]?.fingerprint as string);
            }
          }
        });
        const refused = tracker.quarantined(events.length).map(({ fingerprint }) => fingerprint);
        expect(refused.filter((fingerprint) => !crashedAlone.has(fingerprint))).toEqual([]);
      }),
      { seed: 1 },
    );
  });
});
