import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  type CrashLedger,
  type CrashNews,
  createCrashLedger,
  QUARANTINE_MS,
  type RequestKey,
  Standing,
} from './crashLedger.js';

const CULPRIT = { fingerprint: 'c0', caller: 'desk' };

const other = (index: number) => ({ fingerprint: `other-${index}`, caller: 'desk' });

/** A crash under requests that began when the crashes before it were known. */
function crash(ledger: CrashLedger, instance: string, keys: readonly RequestKey[], now: number) {
  const underWay = keys.map((key) => ({
    ...key,
    hadCrashed: ledger.crashesOf(key.fingerprint) > 0,
  }));
  return ledger.noteCrash(instance, underWay, now);
}

/** Two crashes beside others, then one alone. */
function convict(ledger: CrashLedger, now = 0): CrashNews {
  crash(ledger, 'i-1', [CULPRIT, other(1)], now);
  crash(ledger, 'i-2', [other(2), CULPRIT], now);
  return crash(ledger, 'i-3', [CULPRIT], now);
}

describe('the crash ledger', () => {
  it('suspects what was under way at two crashes, and refuses what then crashed one alone', () => {
    const ledger = createCrashLedger();
    crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    expect(ledger.standingOf(CULPRIT, 0)).toBe(Standing.Clear);
    crash(ledger, 'i-2', [CULPRIT, other(2)], 0);
    expect(ledger.standingOf(CULPRIT, 0)).toBe(Standing.Suspect);
    expect(ledger.standingOf(other(2), 0)).toBe(Standing.Clear);
    expect(crash(ledger, 'i-3', [CULPRIT], 0).quarantined).toEqual([CULPRIT]);
    expect(ledger.standingOf(CULPRIT, 0)).toBe(Standing.Quarantined);
    expect(ledger.crashesOf(CULPRIT.fingerprint)).toBe(3);
  });

  it('refuses nobody who was alone on back ends that ended together', () => {
    const ledger = createCrashLedger();
    const began = { ...CULPRIT, hadCrashed: false };
    for (const instance of ['i-1', 'i-2', 'i-3']) {
      expect(ledger.noteCrash(instance, [began], 0).quarantined).toEqual([]);
    }
    expect(ledger.standingOf(CULPRIT, 0)).toBe(Standing.Suspect);
    expect(ledger.noteCompleted(CULPRIT, 1)?.cleared).toEqual([CULPRIT]);
  });

  it('takes a request that ran twice on one back end for alone', () => {
    const ledger = createCrashLedger();
    crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    expect(crash(ledger, 'i-2', [CULPRIT, CULPRIT], 0).quarantined).toEqual([CULPRIT]);
  });

  it('refuses nobody for crashes beside others, however many', () => {
    const ledger = createCrashLedger();
    for (let index = 0; index < 9; index += 1) {
      crash(ledger, `i-${index}`, [CULPRIT, other(index)], index);
    }
    expect(ledger.standingOf(CULPRIT, 9)).toBe(Standing.Suspect);
    expect(ledger.quarantined(9)).toEqual([]);
  });

  it('counts an incarnation once, whoever tells of it', () => {
    const ledger = createCrashLedger();
    const news = crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    ledger.takeNews(news, 1);
    expect(ledger.standingOf(CULPRIT, 1)).toBe(Standing.Clear);
  });

  it('clears a suspect that runs to its end, and tells so', () => {
    const ledger = createCrashLedger();
    crash(ledger, 'i-1', [CULPRIT, other(1)], 0);
    crash(ledger, 'i-2', [CULPRIT, other(2)], 0);
    const second = createCrashLedger();
    crash(second, 'i-1', [CULPRIT, other(1)], 0);
    crash(second, 'i-2', [CULPRIT, other(2)], 0);
    const news = ledger.noteCompleted(CULPRIT, 1);
    expect(news?.cleared).toEqual([CULPRIT]);
    expect(ledger.standingOf(CULPRIT, 1)).toBe(Standing.Clear);
    second.takeNews(news as CrashNews, 1);
    expect(second.standingOf(CULPRIT, 1)).toBe(Standing.Clear);
    expect(ledger.noteCompleted(other(5), 1)).toBeUndefined();
  });

  it('does not suspect what has just run to its end, unless it was alone', () => {
    const ledger = createCrashLedger();
    const popular = other(0);
    for (let index = 0; index < 5; index += 1) {
      ledger.noteCompleted(popular, index);
      crash(ledger, `i-${index}`, [CULPRIT, popular], index);
    }
    expect(ledger.standingOf(popular, 5)).toBe(Standing.Clear);
    crash(ledger, 'i-6', [popular], 6);
    expect(crash(ledger, 'i-7', [popular], 6).quarantined).toEqual([popular]);
  });

  it('tells callers apart: the next one runs alone, and is not refused if it runs to its end', () => {
    const ledger = createCrashLedger();
    convict(ledger);
    const second = { ...CULPRIT, caller: 'vault' };
    expect(ledger.standingOf(second, 0)).toBe(Standing.Suspect);
    ledger.noteCompleted(second, 1);
    expect(ledger.standingOf(second, 1)).toBe(Standing.Clear);
    expect(ledger.standingOf(CULPRIT, 1)).toBe(Standing.Quarantined);
    const third = { ...CULPRIT, caller: 'third' };
    expect(crash(ledger, 'i-9', [third], 1).quarantined).toEqual([third]);
  });

  it('lets it run alone once more after the quarantine, or when that is lifted', () => {
    const ledger = createCrashLedger();
    convict(ledger);
    expect(ledger.quarantineLeftMs(CULPRIT, QUARANTINE_MS - 5)).toBe(5);
    expect(ledger.standingOf(CULPRIT, QUARANTINE_MS)).toBe(Standing.Suspect);
    crash(ledger, 'i-4', [CULPRIT], QUARANTINE_MS);
    expect(ledger.standingOf(CULPRIT, QUARANTINE_MS)).toBe(Standing.Quarantined);
    ledger.lift(CULPRIT);
    expect(ledger.standingOf(CULPRIT, QUARANTINE_MS)).toBe(Standing.Suspect);
  });

  it('takes a quarantine from another node or the store, also without having heard of a crash', () => {
    const ledger = createCrashLedger();
    const fromNode = createCrashLedger();
    expect(fromNode.takeNews(convict(ledger), 0)).toEqual([CULPRIT]);
    expect(fromNode.takeNews(convict(ledger), 0)).toEqual([]);
    const fromStore = createCrashLedger();
    expect(fromStore.takeQuarantine(CULPRIT, 0)).toBe(true);
    expect(fromStore.standingOf(CULPRIT, 1)).toBe(Standing.Quarantined);
    expect(fromStore.standingOf(CULPRIT, QUARANTINE_MS)).toBe(Standing.Suspect);
  });

  it('takes a suspicion from the store, unless the request has just run to its end here', () => {
    const ledger = createCrashLedger();
    ledger.takeSuspicion(CULPRIT, 2, 0);
    expect(ledger.standingOf(CULPRIT, 1)).toBe(Standing.Suspect);
    expect(crash(ledger, 'i-1', [CULPRIT], 1).quarantined).toEqual([CULPRIT]);
    ledger.noteCompleted(other(1), 0);
    ledger.takeSuspicion(other(1), 2, 1);
    expect(ledger.standingOf(other(1), 1)).toBe(Standing.Clear);
  });

  it('forgets a suspicion, and keeps quarantines when requests are made up to push them out', () => {
    const ledger = createCrashLedger();
    convict(ledger);
    for (let index = 0; index < 5_000; index += 1) {
      crash(ledger, `flood-${index}`, [other(index), other(index + 10_000)], 1);
    }
    expect(ledger.standingOf(CULPRIT, 2)).toBe(Standing.Quarantined);
    const beside = createCrashLedger();
    crash(beside, 'i-1', [CULPRIT, other(1)], 0);
    crash(beside, 'i-2', [CULPRIT, other(1)], 0);
    expect(beside.standingOf(CULPRIT, 600_001)).toBe(Standing.Clear);
  });

  it('never refuses what has not crashed a back end alone, in any order of events', () => {
    const event = fc.record({
      kind: fc.constantFrom('crash', 'completed'),
      instance: fc.nat(6),
      requests: fc.uniqueArray(fc.nat(4), { minLength: 1, maxLength: 4 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 40 }), (events) => {
        const ledger = createCrashLedger();
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
