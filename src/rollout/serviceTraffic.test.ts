import { describe, expect, it } from 'vitest';
import { type EvidenceReport, RolloutMessageKind } from './rolloutMessages.js';
import { RolloutPhase } from './rolloutOrder.js';
import { createServiceTraffic } from './serviceTraffic.js';

/** A report of `answered` requests, made when the order was `ageMs` old. */
function report(node: string, ageMs: number, answered: number, more: Partial<EvidenceReport> = {}) {
  const counts = { answered, failed: 0, crashes: 0, durations: [], cancellations: [] };
  const evidence: EvidenceReport = {
    kind: RolloutMessageKind.Evidence,
    service: 'desk',
    orderId: '1',
    ageMs,
    node,
    phase: RolloutPhase.Watch,
    countId: node,
    sequence: 1,
    version: 'v1',
    readyMs: 0,
    slots: 8,
    load: 0,
    isFenced: false,
    taken: 0,
    limit: 0,
    counts: new Map([['read', counts]]),
    ...more,
  };
  return evidence;
}

describe('ServiceTraffic', () => {
  it('computes the rate of the last two seconds by the times when reports were made', () => {
    const traffic = createServiceTraffic();
    for (const [second, answered] of [0, 10, 20, 40, 60].entries()) {
      traffic.addReport(report('old', second * 1_000, answered), false, 9_000);
    }
    expect(traffic.routes(RolloutPhase.Watch, 9_000)).toMatchObject([
      { route: 'read', requests: 60, perSecond: 20, runs: 0 },
    ]);
    expect(traffic.routes(RolloutPhase.Watch, 12_000)[0]?.perSecond).toBe(0);
  });

  it('counts requests once that move from one owner to another', () => {
    const traffic = createServiceTraffic();
    const rates: number[] = [];
    for (let ageMs = 250; ageMs <= 8_000; ageMs += 250) {
      const isMoved = ageMs > 5_000;
      const toOld = isMoved ? 5_000 : ageMs;
      traffic.addReport(report('old', ageMs, toOld / 10), false, ageMs);
      traffic.addReport(report('new', ageMs, (ageMs - toOld) / 10), true, ageMs);
      rates.push(traffic.routes(RolloutPhase.Watch, ageMs)[0]?.perSecond ?? 0);
    }
    expect(Math.max(...rates)).toBeLessThan(101);
    expect(Math.min(...rates)).toBeGreaterThan(99);
  });

  it('counts the runs of the version in a phase by the phase that its owner was in', () => {
    const traffic = createServiceTraffic();
    const ramp = { phase: RolloutPhase.Ramp };
    traffic.addReport(report('new', 1_000, 10), true, 1_000);
    traffic.addReport(report('new', 1_200, 12, ramp), true, 1_200);
    traffic.addReport(report('new', 1_500, 20, ramp), true, 1_500);
    expect(traffic.routes(RolloutPhase.Ramp, 1_500)[0]).toMatchObject({ runs: 20, phaseRuns: 10 });
    expect(traffic.routes(RolloutPhase.Shift, 1_500)[0]).toMatchObject({ runs: 20, phaseRuns: 0 });
  });

  it('keeps the earlier counts of an owner whose counts started from zero', () => {
    const traffic = createServiceTraffic();
    traffic.addReport(report('new', 1_000, 10), true, 1_000);
    traffic.addReport(report('new', 2_000, 3, { countId: 'new-2' }), true, 2_000);
    expect(traffic.routes(RolloutPhase.Watch, 2_000)[0]).toMatchObject({ requests: 13, runs: 13 });
  });
});
