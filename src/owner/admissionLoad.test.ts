/** Admission under more than the back end can run: one owner, a clock and chances of the test's own. */
import { describe, expect, it } from 'vitest';
import { priorityOf } from '../tenants/priority.js';
import { AdmissionControl, type AdmissionRequest } from './admission-control.js';

/** One kind of request. */
interface Kind {
  readonly route: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly workMs: number;
  /** Times are spread evenly by this share around the mean. */
  readonly spread: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly isCall?: boolean;
}

interface Fate {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
  /** Time that those who were refused had been held, in milliseconds. */
  heldMs: number;
}

const SLOTS = 13;
const LENGTH_MS = 60_000;

/** A generator of numbers from 0 up to 1 (a linear congruence; enough for arrivals). */
function chancesFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** What has become of each kind after a minute. */
function play(kinds: readonly Kind[], slots = SLOTS, seed = 7): Map<string, Fate> {
  const random = chancesFrom(seed);
  const admission = new AdmissionControl();
  admission.setSlots(slots, 0);
  const fates = new Map<string, Fate>();
  const events: { at: number; act: (now: number) => void }[] = [];
  const plan = (at: number, act: (now: number) => void) => {
    let index = events.length;
    while (index > 0 && (events[index - 1] as { at: number }).at < at) {
      index -= 1;
    }
    events.splice(index, 0, { at, act });
  };

  const arrive = (kind: Kind, fate: Fate, now: number): void => {
    const request: AdmissionRequest = {
      ...kind,
      targetAt: now + kind.targetMs,
      deadlineAt: now + kind.deadlineMs,
      mayWait: true,
    };
    let clock = now;
    const run = () => {
      admission.noteStarted(request, clock);
      const workMs = kind.workMs * (1 + kind.spread * (2 * random() - 1));
      plan(clock + workMs, (end) => {
        const isInTime = end <= request.targetAt;
        fate.inTime += isInTime ? 1 : 0;
        fate.late += isInTime ? 0 : 1;
        running = end;
        admission.noteFinished(request, workMs, end);
      });
    };
    const refuse = (at: number) => {
      fate.heldMs += at - now;
      fate.refused += 1;
    };
    fate.asked += 1;
    const decision = admission.decide(request, now);
    if (decision.kind === 'run') {
      run();
    } else if (decision.kind === 'busy') {
      refuse(now);
    } else {
      let waits = true;
      const waiter = {
        request,
        since: now,
        admit: () => {
          waits = false;
          clock = running;
          run();
        },
        reject: () => {
          waits = false;
          refuse(running);
        },
      };
      admission.enqueue(waiter);
      plan(admission.latestStartAt(request), (at) => {
        if (waits) {
          admission.remove(waiter);
          waits = false;
          refuse(at);
        }
      });
    }
  };

  let running = 0;
  for (const kind of kinds) {
    const fate = { asked: 0, inTime: 0, late: 0, refused: 0, heldMs: 0 };
    fates.set(kind.route, fate);
    const next = (at: number) => {
      if (at < LENGTH_MS) {
        plan(at, (now) => {
          arrive(kind, fate, now);
          next(now - (Math.log(1 - random()) * 1_000) / kind.perSecond);
        });
      }
    };
    next(random() * 100);
  }
  for (let event = events.pop(); event; event = events.pop()) {
    event.act(event.at);
  }
  return fates;
}

const order: Kind = {
  route: 'order',
  priority: 1,
  perSecond: 30,
  workMs: 500,
  spread: 0.6,
  targetMs: 1_280,
  deadlineMs: 5_000,
};

const call: Kind = {
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
  it("serves calls, and their service's clients with what is left", () => {
    const fates = play([order, call]);
    expect(shareOf(fates, 'stock', 'inTime')).toBeGreaterThan(0.97);
    expect(shareOf(fates, 'order', 'inTime')).toBeGreaterThan(0.5);
  });

  it('queues few who are late in the end', () => {
    const fates = play([order, call]);
    expect(shareOf(fates, 'order', 'late')).toBeLessThan(0.125);
  });

  it('tells those who find no room soon', () => {
    const { heldMs, refused } = play([order, call]).get('order') as Fate;
    expect(refused).toBeGreaterThan(300);
    expect(heldMs / refused).toBeLessThan(200);
  });

  it('is what calls need: as clients of the same priority they are refused', () => {
    const fates = play([order, { ...call, isCall: false }]);
    expect(shareOf(fates, 'stock', 'refused')).toBeGreaterThan(0.7);
  });

  it('leaves clients their part when calls alone would take every slot', () => {
    const fates = play([order, { ...call, perSecond: 200 }]);
    expect(shareOf(fates, 'order', 'inTime')).toBeGreaterThan(0.15);
  });

  it('serves clients beside calls where long work of a lower priority holds most slots', () => {
    const lookup = { ...call, route: 'lookup', perSecond: 18, workMs: 62, targetMs: 230 };
    const upload = { ...order, route: 'upload', perSecond: 2.8, workMs: 300, targetMs: 800 };
    const read = { ...order, route: 'read', priority: 2, perSecond: 5.2, workMs: 1_000 };
    const fates = play([lookup, upload, { ...read, targetMs: 2_500 }], 6);
    expect(shareOf(fates, 'upload', 'inTime')).toBeGreaterThan(0.9);
    expect(shareOf(fates, 'lookup', 'inTime')).toBeGreaterThan(0.75);
  });

  it('serves what is urgent beside long work of the last priority', () => {
    const pick = { ...order, route: 'pick', priority: 0, workMs: 134, targetMs: 550 };
    const upload = { ...order, route: 'upload', priority: 2, targetMs: 3_000 };
    const fates = play([pick, upload]);
    expect(shareOf(fates, 'pick', 'inTime')).toBeGreaterThan(0.97);
    expect(shareOf(fates, 'upload', 'late')).toBeLessThan(0.05);
  });

  it('serves what is short and urgent though tenants of one priority send all', () => {
    const sent = (priority: number) => priorityOf({ priority: 1 }, { priority });
    const pick = { ...order, route: 'pick', priority: sent(0), perSecond: 24, workMs: 190 };
    const upload = { ...order, route: 'upload', priority: sent(2), targetMs: 3_100 };
    const look = { ...call, priority: sent(1), perSecond: 25 };
    const fates = play([{ ...pick, targetMs: 530 }, upload, look]);
    expect(shareOf(fates, 'pick', 'inTime')).toBeGreaterThan(0.97);
    expect(shareOf(fates, 'stock', 'inTime')).toBeGreaterThan(0.85);
    expect(shareOf(fates, 'upload', 'inTime')).toBeGreaterThan(0.35);
  });
});

function shareOf(fates: Map<string, Fate>, route: string, kind: keyof Fate): number {
  const fate = fates.get(route) as Fate;
  return fate[kind] / fate.asked;
}
