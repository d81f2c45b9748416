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

/** A crash under requests that began when the crashes before it were known. */
function crash(ledger: CrashTracker, instance: string, keys: readonly RequestKey[], now: number) {
  const underWay = keys.map((key) => ({
    ...key,
    hadPriorCrash: ledger.crashesOf(key.fingerprint) > 0,
  }));
  return ledger.noteCrash(instance, underWay, now);
}

/** Two crashes beside others, then one alone. */
function convict(ledger: CrashTracker, now = 0): CrashAnnouncement {
  crash(ledger, 'i-1', [CULPRIT, other(1)], now);
  crash(ledger, 'i-2', [other(2), CULPRIT], now);
  return crash(ledger, 'i-3', [CULPRIT], now);
}

describe('the crash ledger', () => {
  it('suspects what was under way at two crashes, and refuses what then crashed one alone', () => {
    const ledger = createCrashTracker();
    crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    expect(ledger.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Clear);
    crash(ledger, 'i-2', [CULPRIT, other(2)], 0);
    expect(ledger.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Suspect);
    expect(ledger.statusOf(other(2), 0)).toBe(QuarantineStatus.Clear);
    expect(crash(ledger, 'i-3', [CULPRIT], 0).quarantined).toEqual([CULPRIT]);
    expect(ledger.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Quarantined);
    expect(ledger.crashesOf(CULPRIT.fingerprint)).toBe(3);
  });

  it('refuses nobody who was alone on back ends that ended together', () => {
    const ledger = createCrashTracker();
    const began = { ...CULPRIT, hadPriorCrash: false };
    for (const instance of ['i-1', 'i-2', 'i-3']) {
      expect(ledger.noteCrash(instance, [began], 0).quarantined).toEqual([]);
    }
    expect(ledger.statusOf(CULPRIT, 0)).toBe(QuarantineStatus.Suspect);
    expect(ledger.noteCompleted(CULPRIT, 1)?.cleared).toEqual([CULPRIT]);
  });

  it('takes a request that ran twice on one back end for alone', () => {
    const ledger = createCrashTracker();
    crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    expect(crash(ledger, 'i-2', [CULPRIT, CULPRIT], 0).quarantined).toEqual([CULPRIT]);
  });

  it('refuses nobody for crashes beside others, however many', () => {
    const ledger = createCrashTracker();
    for (let index = 0; index < 9; index += 1) {
      crash(ledger, `i-${index}`, [CULPRIT, other(index)], index);
    }
    expect(ledger.statusOf(CULPRIT, 9)).toBe(QuarantineStatus.Suspect);
    expect(ledger.quarantined(9)).toEqual([]);
  });

  it('counts an incarnation once, whoever tells of it', () => {
    const ledger = createCrashTracker();
    const news = crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    ledger.applyAnnouncement(news, 1);
    expect(ledger.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Clear);
  });

  it('clears a suspect that runs to its end, and tells so', () => {
    const ledger = createCrashTracker();
    crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    crash(ledger, 'i-2', [CULPRIT, other(2)], 0);
    const second = createCrashTracker();
    crash(second, 'i-1', [CULPRIT, other(1)], 0);
    crash(second, 'i-2', [CULPRIT, other(2)], 0);
    const news = ledger.noteCompleted(CULPRIT, 1);
    expect(news?.cleared).toEqual([CULPRIT]);
    expect(ledger.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Clear);
    second.applyAnnouncement(news as CrashAnnouncement, 1);
    expect(second.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Clear);
    expect(ledger.noteCompleted(other(5), 1)).toBeUndefined();
  });

  it('does not suspect what has just run to its end, unless it was alone', () => {
    const ledger = createCrashTracker();
    const popular = other(0);
    for (let index = 0; index < 5; index += 1) {
      ledger.noteCompleted(popular, index);
      crash(ledger, `i-${index}`, [CULPRIT, popular], index);
    }
    expect(ledger.statusOf(popular, 5)).toBe(QuarantineStatus.Clear);
    crash(ledger, 'i-6', [popular], 6);
    expect(crash(ledger, 'i-7', [popular], 6).quarantined).toEqual([popular]);
  });

  it('tells callers apart: the next one runs alone, and is not refused if it runs to its end', () => {
    const ledger = createCrashTracker();
    convict(ledger);
    const second = { ...CULPRIT, caller: 'vault' };
    expect(ledger.statusOf(second, 0)).toBe(QuarantineStatus.Suspect);
    ledger.noteCompleted(second, 1);
    expect(ledger.statusOf(second, 1)).toBe(QuarantineStatus.Clear);
    expect(ledger.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Quarantined);
    const third = { ...CULPRIT, caller: 'third' };
    expect(crash(ledger, 'i-9', [third], 1).quarantined).toEqual([third]);
  });

  it('lets it run alone once more after the quarantine, or when that is lifted', () => {
    const ledger = createCrashTracker();
    convict(ledger);
    expect(ledger.quarantineLeftMs(CULPRIT, QUARANTINE_MS - 5)).toBe(5);
    expect(ledger.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Suspect);
    crash(ledger, 'i-4', [CULPRIT], QUARANTINE_MS);
    expect(ledger.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Quarantined);
    ledger.lift(CULPRIT);
    expect(ledger.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Suspect);
  });

  it('takes a quarantine from another node or the store, also without having heard of a crash', () => {
    const ledger = createCrashTracker();
    const fromNode = createCrashTracker();
    expect(fromNode.applyAnnouncement(convict(ledger), 0)).toEqual([CULPRIT]);
    expect(fromNode.applyAnnouncement(convict(ledger), 0)).toEqual([]);
    const fromStore = createCrashTracker();
    expect(fromStore.applyQuarantine(CULPRIT, 0)).toBe(true);
    expect(fromStore.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Quarantined);
    expect(fromStore.statusOf(CULPRIT, QUARANTINE_MS)).toBe(QuarantineStatus.Suspect);
  });

  it('takes a suspicion from the store, unless the request has just run to its end here', () => {
    const ledger = createCrashTracker();
    ledger.applySuspicion(CULPRIT, 2, 0);
    expect(ledger.statusOf(CULPRIT, 1)).toBe(QuarantineStatus.Suspect);
    expect(crash(ledger, 'i-1', [CULPRIT], 1).quarantined).toEqual([CULPRIT]);
    ledger.noteCompleted(other(1), 0);
    ledger.applySuspicion(other(1), 2, 1);
    expect(ledger.statusOf(other(1), 1)).toBe(QuarantineStatus.Clear);
  });

  it('forgets a suspicion, and keeps quarantines when requests are made up to push them out', () => {
    const ledger = createCrashTracker();
    convict(ledger);
    for (let index = 0; index < 5_000; index += 1) {
      crash(ledger, `flood-${index}`, [other(index), other(index + 10_000)], 1);
    }
    expect(ledger.statusOf(CULPRIT, 2)).toBe(QuarantineStatus.Quarantined);
    const beside = createCrashTracker();
    crash(beside, 'i-1', [CULPRIT, other(1)], 0);
    crash(beside, 'i-2', [CULPRIT, other(1)], 0);
    expect(beside.statusOf(CULPRIT, 600_001)).toBe(QuarantineStatus.Clear);
  });

  it('never refuses what has not crashed a back end alone, in any order of events', () => {
    const event = fc.record({
      kind: fc.constantFrom('crash', 'completed'),
      instance: fc.nat(6),
      requests: fc.uniqueArray(fc.nat(4), { minLength: 1, maxLength: 4 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 40 }), (events) => {
        const ledger = createCrashTracker();
        const crashedAlone = new Set<string>();
        events.forEach(({ kind, instance, requests }, now) => {
          const keys = requests.map(other);
          if (kind === 'completed') {
            for (const key of keys) {
              ledger.noteCompleted(key, now);
            }
          } else {
            crash(ledger, `i-${instance}`, keys, now);
            if (keys.length === 1) {
              crashedAlone.add(keys[0]?.fingerprint as string);
            }
          }
        });
        const refused = ledger.quarantined(events.length).map(({ fingerprint }) => fingerprint);
        expect(refused.filter((fingerprint) => !crashedAlone.has(fingerprint))).toEqual([]);
      }),
      { seed: 1 },
    );
  });
});
