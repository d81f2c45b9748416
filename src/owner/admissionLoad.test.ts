/**
 * Simulates one owner under more load than its back end can run, with a simulated clock and seeded
 * random numbers. Guards against calls being rejected, clients getting no slots, tasks that end
 * late, and rejections that come only after a long wait.
 */
import { describe, expect, it } from 'vitest';
import { priorityOf } from '../tenants/priority.js';
import { AdmissionControl } from './admission-control.js';
import type { AdmissionRequest } from './admissionRequest.js';

/** A kind of request in the simulation. */
interface RequestKind {
  readonly route: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly workMs: number;
  /** Service times are distributed evenly around the mean, by up to this share. */
  readonly spread: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly isCall?: boolean;
}

/** Outcomes of the requests of one kind. */
interface Outcomes {
  arrived: number;
  inTime: number;
  late: number;
  rejected: number;
  /** Total time that rejected requests had waited, in milliseconds. */
  waitedMs: number;
}

const SLOTS = 13;
const DURATION_MS = 60_000;

/** Random numbers from 0 up to 1 by a linear congruential generator; sufficient for arrivals. */
function randomFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Simulates a minute. Returns the outcomes by route. */
function simulate(kinds: readonly RequestKind[], slots = SLOTS, seed = 7): Map<string, Outcomes> {
  const random = randomFrom(seed);
  const admission = new AdmissionControl();
  admission.setSlots(slots, 0);
  const outcomesByRoute = new Map<string, Outcomes>();
  const events: { at: number; act: (now: number) => void }[] = [];
  const schedule = (at: number, act: (now: number) => void) => {
    let index = events.length;
    while (index > 0 && (events[index - 1] as { at: number }).at < at) {
      index -= 1;
    }
    events.splice(index, 0, { at, act });
  };

  const arrive = (kind: RequestKind, outcomes: Outcomes, now: number): void => {
    const request: AdmissionRequest = {
      ...kind,
      targetAt: now + kind.targetMs,
      deadlineAt: now + kind.deadlineMs,
      mayWait: true,
    };
    let startedAt = now;
    const run = () => {
      admission.noteStarted(request, startedAt);
      const workMs = kind.workMs * (1 + kind.spread * (2 * random() - 1));
      schedule(startedAt + workMs, (end) => {
        const isInTime = end <= request.targetAt;
        outcomes.inTime += isInTime ? 1 : 0;
        outcomes.late += isInTime ? 0 : 1;
        eventTime = end;
        admission.noteFinished(request, workMs, end);
      });
    };
    const reject = (at: number) => {
      outcomes.waitedMs += at - now;
      outcomes.rejected += 1;
    };
    outcomes.arrived += 1;
    const decision = admission.decide(request, now);
    if (decision.kind === 'run') {
      run();
    } else if (decision.kind === 'busy') {
      reject(now);
    } else {
      let isWaiting = true;
      const waiter = {
        request,
        since: now,
        admit: () => {
          isWaiting = false;
          startedAt = eventTime;
          run();
        },
        reject: () => {
          isWaiting = false;
          reject(eventTime);
        },
      };
      admission.enqueue(waiter);
      schedule(admission.latestStartAt(request), (at) => {
        if (isWaiting) {
          admission.remove(waiter);
          isWaiting = false;
          reject(at);
        }
      });
    }
  };

  let eventTime = 0;
  for (const kind of kinds) {
    const outcomes = { arrived: 0, inTime: 0, late: 0, rejected: 0, waitedMs: 0 };
    outcomesByRoute.set(kind.route, outcomes);
    const next = (at: number) => {
      if (at < DURATION_MS) {
        schedule(at, (now) => {
          arrive(kind, outcomes, now);
          next(now - (Math.log(1 - random()) * 1_000) / kind.perSecond);
        });
      }
    };
    next(random() * 100);
  }
  for (let event = events.pop(); event; event = events.pop()) {
    event.act(event.at);
  }
  return outcomesByRoute;
}

const order: RequestKind = {
  route: 'order',
  priority: 1,
  perSecond: 30,
  workMs: 500,
  spread: 0.6,
  targetMs: 1_280,
  deadlineMs: 5_000,
};

const call: RequestKind = {
  route: 'stock',
  priority: 1,
  perSecond: 40,
  workMs: 87,
  spread: 0.5,
  targetMs: 340,
  deadlineMs: 1_100,
  isCall: true,
};

describe('AdmissionControl under load', () => {
  it('serves calls, and clients of the service with the remaining slots', () => {
    const outcomesByRoute = simulate([order, call]);
    expect(shareOf(outcomesByRoute, 'stock', 'inTime')).toBeGreaterThan(0.97);
    expect(shareOf(outcomesByRoute, 'order', 'inTime')).toBeGreaterThan(0.5);
  });

  it('queues few tasks that end late', () => {
    const outcomesByRoute = simulate([order, call]);
    expect(shareOf(outcomesByRoute, 'order', 'late')).toBeLessThan(0.125);
  });

  it('rejects tasks for which no slot becomes free within a short time', () => {
    const { waitedMs, rejected } = simulate([order, call]).get('order') as Outcomes;
    expect(rejected).toBeGreaterThan(300);
    expect(waitedMs / rejected).toBeLessThan(200);
  });

  it('rejects most calls if they are treated like clients of the same priority', () => {
    const outcomesByRoute = simulate([order, { ...call, isCall: false }]);
    expect(shareOf(outcomesByRoute, 'stock', 'rejected')).toBeGreaterThan(0.7);
  });

  it('reserves a share of the slots for clients if calls alone would use every slot', () => {
    const outcomesByRoute = simulate([order, { ...call, perSecond: 200 }]);
    expect(shareOf(outcomesByRoute, 'order', 'inTime')).toBeGreaterThan(0.15);
  });

  it('serves clients beside calls if long tasks of a lower priority hold most slots', () => {
    const lookup = { ...call, route: 'lookup', perSecond: 18, workMs: 62, targetMs: 230 };
    const upload = { ...order, route: 'upload', perSecond: 2.8, workMs: 300, targetMs: 800 };
    const read = { ...order, route: 'read', priority: 2, perSecond: 5.2, workMs: 1_000 };
    const outcomesByRoute = simulate([lookup, upload, { ...read, targetMs: 2_500 }], 6);
    expect(shareOf(outcomesByRoute, 'upload', 'inTime')).toBeGreaterThan(0.9);
    expect(shareOf(outcomesByRoute, 'lookup', 'inTime')).toBeGreaterThan(0.75);
  });

  it('serves urgent tasks beside long tasks of the lowest priority', () => {
    const pick = { ...order, route: 'pick', priority: 0, workMs: 134, targetMs: 550 };
    const upload = { ...order, route: 'upload', priority: 2, targetMs: 3_000 };
    const outcomesByRoute = simulate([pick, upload]);
    expect(shareOf(outcomesByRoute, 'pick', 'inTime')).toBeGreaterThan(0.97);
    expect(shareOf(outcomesByRoute, 'upload', 'late')).toBeLessThan(0.05);
  });

  it('serves short urgent tasks if all tasks are sent by tenants of one priority', () => {
    const effective = (priority: number) => priorityOf({ priority: 1 }, { priority });
    const pick = { ...order, route: 'pick', priority: effective(0), perSecond: 24, workMs: 190 };
    const upload = { ...order, route: 'upload', priority: effective(2), targetMs: 3_100 };
    const stock = { ...call, priority: effective(1), perSecond: 25 };
    const outcomesByRoute = simulate([{ ...pick, targetMs: 530 }, upload, stock]);
    expect(shareOf(outcomesByRoute, 'pick', 'inTime')).toBeGreaterThan(0.97);
    expect(shareOf(outcomesByRoute, 'stock', 'inTime')).toBeGreaterThan(0.85);
    expect(shareOf(outcomesByRoute, 'upload', 'inTime')).toBeGreaterThan(0.35);
  });
});

function shareOf(
  outcomesByRoute: Map<string, Outcomes>,
  route: string,
  kind: keyof Outcomes,
): number {
  const outcomes = outcomesByRoute.get(route) as Outcomes;
  return outcomes[kind] / outcomes.arrived;
}
