/**
 * Runs a decider on simulated owners' reports without a network. Guards against bad versions that
 * complete and good ones that miss their deadline.
 */
import { describe, expect, it } from 'vitest';
import { createRolloutDecider } from './rolloutDecider.js';
import { type EvidenceReport, RolloutMessageKind } from './rolloutMessages.js';
import { RolloutPhase, RolloutState } from './rolloutOrder.js';
import type { RunningRollout } from './rolloutTracker.js';
import type { CountsByRoute, RouteCounts } from './runCounts.js';

const OTHERS = ['old-1', 'old-2', 'old-3', 'old-4'];
const TARGETS = ['new-1', 'new-2', 'new-3'];
const OWNERS = { up: [...OTHERS, ...TARGETS], contactMs: 3_000 };
const OUTSIDE = { bounds: { exposureShare: 0.1, exposureSlack: 50 }, storeMs: 20 };
const DURATION_MS = 12_000;
const STEP_MS = 125;

/** Milliseconds between two reports of an owner in the watch. */
const REPORT_MS = 500;

/** Milliseconds between two reports of an owner in the ramp and the shift. */
const FAST_REPORT_MS = 125;

/** Duration class of a usual answer, and the number of classes by which a slow one is higher. */
const USUAL_CLASS = 6;
const SLOW_CLASSES = 5;

/** Total counts of one route; `slow` of the answered requests are slow. */
function countsOf(answered: number, failed: number, slow = 0): RouteCounts {
  const durations = Array.from({ length: USUAL_CLASS + 8 }, () => 0);
  durations[USUAL_CLASS] = answered - slow;
  durations[USUAL_CLASS + SLOW_CLASSES] = slow;
  return { answered, failed, crashes: 0, durations, cancellations: [] };
}

function setUp() {
  let now = 0;
  let phase = RolloutPhase.Watch;
  let phaseSince = 0;
  const decider = createRolloutDecider({ now: () => now }, 'v2');
  const rollout = (): RunningRollout => ({
    order: {
      service: 'desk',
      targetVersion: 'v2',
      durationMs: DURATION_MS,
      id: '1',
      state: RolloutState.Running,
    },
    generation: 1,
    phase,
    phaseAgeMs: now - phaseSince,
    ageMs: now,
  });
  let reports = 0;
  const addReport = (node: string, counts: CountsByRoute, more: Partial<EvidenceReport> = {}) => {
    const version = TARGETS.includes(node) ? 'v2' : 'v1';
    const runs = [...counts.values()].reduce((sum, each) => sum + each.answered + each.failed, 0);
    reports += 1;
    const report: EvidenceReport = {
      kind: RolloutMessageKind.Evidence,
      service: 'desk',
      orderId: '1',
      ageMs: now,
      node,
      phase,
      countId: '1',
      sequence: reports,
      version,
      readyMs: now,
      slots: 8,
      load: 0,
      isFenced: phase === RolloutPhase.Shift && version === 'v1',
      taken: version === 'v2' ? runs : 0,
      limit: 0,
      counts,
      ...more,
    };
    decider.addReport(report, now);
    return report;
  };
  const step = () => {
    const decided = decider.step(rollout(), OWNERS, OUTSIDE);
    if (decided.phase !== phase) {
      phase = decided.phase;
      phaseSince = now;
    }
    return decided;
  };
  return {
    decider,
    addReport,
    step,
    pass: (ms: number) => {
      now += ms;
    },
    get now() {
      return now;
    },
    get phase() {
      return phase;
    },
  };
}

type Setup = ReturnType<typeof setUp>;

/** Percentages of a version's requests on a route that fail or are slow in the present phase. */
type Behaviour = (
  setup: Setup,
  route: string,
) => { readonly failed: number; readonly slow: number };

const GOOD: Behaviour = () => ({ failed: 0, slow: 0 });

/**
 * Simulates an order on two routes. On each route an owner of another version answers 20 requests a
 * second, and none in the shift; an owner of the version gets 2 in the watch, 8 in the ramp and 28
 * in the shift. Returns the last phase and its time in milliseconds.
 */
function simulate(behaviour: Behaviour): { readonly phase: RolloutPhase; readonly atMs: number } {
  const setup = setUp();
  const whole = new Map<string, { answered: number; failed: number; slow: number }>();
  const wholeOf = (key: string) => {
    const known = whole.get(key) ?? { answered: 0, failed: 0, slow: 0 };
    whole.set(key, known);
    return known;
  };
  const perSecond = (isTarget: boolean): number => {
    if (!isTarget) {
      return setup.phase === RolloutPhase.Shift ? 0 : 20;
    }
    const more = setup.phase === RolloutPhase.Ramp ? 8 : 28;
    return setup.phase === RolloutPhase.Watch ? 2 : more;
  };
  /** Fractions of requests due but not yet counted, by node and route. */
  const due = new Map<string, number>();
  const report = (node: string, passedMs: number): void => {
    const isTarget = TARGETS.includes(node);
    const counts = ['read', 'grant'].map((route) => {
      const sum = wholeOf(`${node} ${route}`);
      const { failed, slow } = isTarget ? behaviour(setup, route) : { failed: 0, slow: 0 };
      const key = `${node} ${route}`;
      const owed = (due.get(key) ?? 0) + (perSecond(isTarget) * passedMs) / 1_000;
      const runs = Math.floor(owed);
      due.set(key, owed - runs);
      const share = (percent: number, before: number) => {
        const due = ((sum.answered + sum.failed + runs) * percent) / 100;
        return percent === 0 ? 0 : Math.min(runs, Math.max(0, Math.round(due) - before));
      };
      const failing = share(failed, sum.failed);
      sum.slow += share(slow, sum.slow);
      sum.failed += failing;
      sum.answered += runs - failing;
      return [route, countsOf(sum.answered, sum.failed, sum.slow)] as const;
    });
    setup.addReport(node, new Map(counts));
  };
  let reportedAt = 0;
  while (setup.now < DURATION_MS) {
    setup.pass(STEP_MS);
    const isWatched = setup.phase === RolloutPhase.Watch;
    if (setup.now - reportedAt >= (isWatched ? REPORT_MS : FAST_REPORT_MS)) {
      for (const node of OWNERS.up) {
        report(node, setup.now - reportedAt);
      }
      reportedAt = setup.now;
    }
    const { phase } = setup.step();
    if (phase === RolloutPhase.Halt || phase === RolloutPhase.Done) {
      return { phase, atMs: setup.now };
    }
  }
  return { phase: setup.phase, atMs: setup.now };
}

describe('RolloutDecider', () => {
  it('completes a good version before its deadline', () => {
    const { phase, atMs } = simulate(GOOD);
    expect(phase).toBe(RolloutPhase.Done);
    expect(atMs).toBeLessThan(DURATION_MS);
  });

  it('completes a good version that is slow only while it alone serves', () => {
    const { phase, atMs } = simulate((setup) => ({
      failed: 0,
      slow: setup.phase === RolloutPhase.Shift ? 50 : 0,
    }));
    expect(phase).toBe(RolloutPhase.Done);
    expect(atMs).toBeLessThan(DURATION_MS);
  });

  it('halts a version of which half of the answers fail once it alone serves', () => {
    const { phase } = simulate((setup) => ({
      failed: setup.phase === RolloutPhase.Shift ? 50 : 0,
      slow: 0,
    }));
    expect(phase).toBe(RolloutPhase.Halt);
  });

  const bad: [string, Behaviour][] = [
    [
      'half of its answers fail on one route only',
      (_, route) => ({ failed: route === 'grant' ? 50 : 0, slow: 0 }),
    ],
    [
      'half of its answers are slow on one route only',
      (_, route) => ({ failed: 0, slow: route === 'grant' ? 50 : 0 }),
    ],
    [
      'half of its answers fail under load only',
      ({ phase }) => ({ failed: phase === RolloutPhase.Watch ? 0 : 50, slow: 0 }),
    ],
    [
      'half of its answers are slow under load only',
      ({ phase }) => ({ failed: 0, slow: phase === RolloutPhase.Watch ? 0 : 50 }),
    ],
  ];

  it.each(bad)('halts a version before its deadline when %s', (_name, behaviour) => {
    const { phase, atMs } = simulate(behaviour);
    expect(phase).toBe(RolloutPhase.Halt);
    expect(atMs).toBeLessThan(DURATION_MS);
  });

  it('returns the age of the evidence for a decision, and ignores reports that are too old', () => {
    const setup = setUp();
    expect(setup.step().newestEvidenceMs).toBeUndefined();
    setup.addReport('old-1', new Map());
    setup.pass(2_000);
    setup.addReport('new-1', new Map());
    setup.pass(300);
    expect(setup.step()).toMatchObject({ newestEvidenceMs: 300, oldestEvidenceMs: 2_300 });
    setup.pass(300);
    expect(setup.step()).toMatchObject({ newestEvidenceMs: 600, oldestEvidenceMs: 600 });
  });

  it('has no quorum of reports when no owner of the service is up', () => {
    const { decider, addReport } = setUp();
    expect(decider.hasReportQuorum({ up: [], contactMs: 3_000 })).toBe(false);
    addReport('old-1', new Map());
    expect(decider.hasReportQuorum({ up: ['old-1'], contactMs: 3_000 })).toBe(true);
  });

  it('decides on each order by its own reports only', () => {
    const [first, second] = [setUp(), setUp()];
    first.addReport('new-1', new Map([['read', countsOf(10, 90)]]));
    first.addReport('new-2', new Map([['read', countsOf(10, 90)]]));
    first.addReport('old-1', new Map([['read', countsOf(100, 0)]]));
    // Outcomes of the target are delayed until the others' reports of the same time have arrived.
    first.step();
    second.step();
    first.pass(STEP_MS * 2);
    second.pass(STEP_MS * 2);
    expect(first.step().phase).toBe(RolloutPhase.Halt);
    expect(second.step().phase).toBe(RolloutPhase.Watch);
  });
});

it('counts each request once when a report overtakes an earlier one', () => {
  const { decider, addReport, step } = setUp();
  const early = addReport('new-1', new Map([['read', countsOf(4, 0)]]));
  addReport('new-1', new Map([['read', countsOf(9, 0)]]));
  decider.addReport(early, 0);
  addReport('new-1', new Map([['read', countsOf(10, 0)]]));
  expect(step().facts.comparison.finished).toBe(10);
});
