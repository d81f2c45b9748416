import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AdmissionControl, type AdmissionRequest, type Waiter } from './admission-control.js';

function request(overrides: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    route: 'read',
    priority: 1,
    targetAt: 1_000,
    deadlineAt: 2_000,
    mayWait: true,
    ...overrides,
  };
}

/** An admission control with all of its slots taken and a known service time. */
function full(slots: number, serviceMs: number): AdmissionControl {
  const admission = new AdmissionControl();
  admission.setSlots(slots, 0);
  for (let index = 0; index < 200; index += 1) {
    admission.noteStarted({}, 0);
    admission.noteFinished(request(), serviceMs, 0);
  }
  for (let index = 0; index < slots; index += 1) {
    admission.noteStarted({}, 0);
  }
  return admission;
}

function waiterOf(asked: AdmissionRequest, fate: string[], name: string): Waiter {
  return {
    request: asked,
    since: 0,
    admit: () => fate.push(`${name} runs`),
    reject: () => fate.push(`${name} is turned away`),
  };
}

describe('AdmissionControl', () => {
  it('runs a task while a slot is free', () => {
    const admission = new AdmissionControl();
    admission.setSlots(1, 0);
    expect(admission.decide(request(), 0)).toEqual({ kind: 'run' });
    admission.noteStarted({}, 0);
    expect(admission.decide(request(), 0).kind).not.toBe('run');
  });

  it('runs a task that asks for it alone, and holds up what would run beside it', () => {
    const admission = new AdmissionControl();
    const fate: string[] = [];
    const alone = request({ isExclusive: true });
    admission.setSlots(3, 0);
    admission.noteStarted({}, 0);
    expect(admission.decide(alone, 0).kind).toBe('wait');
    admission.enqueue({
      ...waiterOf(alone, fate, 'alone'),
      admit: () => {
        admission.noteStarted(alone, 0);
        fate.push('alone runs');
      },
    });
    expect(admission.decide(request(), 0).kind).toBe('wait');
    admission.enqueue(waiterOf(request(), fate, 'next'));
    expect(admission.decide(request({ priority: 0 }), 0).kind).toBe('run');
    admission.noteStarted({}, 0);
    admission.noteFinished(request(), 10, 1);
    expect(fate).toEqual([]);
    admission.noteFinished(request(), 10, 1);
    expect(fate).toEqual(['alone runs']);
    expect(admission.decide(request({ priority: 0 }), 1).kind).not.toBe('run');
    admission.noteFinished(alone, 10, 2);
    expect(fate).toEqual(['alone runs', 'next runs']);
  });

  it('turns a task away that asks to run alone where what runs would be done too late', () => {
    const admission = full(4, 100);
    const alone = request({ isExclusive: true, targetAt: 180 });
    expect(admission.decide(request({ targetAt: 180 }), 0).kind).toBe('wait');
    expect(admission.decide(alone, 0).kind).toBe('busy');
  });

  it('turns a task away at once when it could no longer meet its target', () => {
    const admission = full(2, 100);
    expect(admission.decide(request({ targetAt: 160 }), 0).kind).toBe('wait');
    const decision = admission.decide(request({ targetAt: 140 }), 0);
    expect(decision.kind).toBe('busy');
    expect(decision.kind === 'busy' && decision.retryAfterMs).toBeGreaterThan(0);
  });

  it('turns a task that may not wait away unless a slot is free', () => {
    const admission = full(2, 100);
    expect(admission.decide(request({ mayWait: false }), 0).kind).toBe('busy');
    expect(admission.decide(request(), 0).kind).toBe('wait');
    admission.noteFinished(request(), 100, 0);
    expect(admission.decide(request({ mayWait: false }), 0).kind).toBe('run');
  });

  it('counts on more urgent tasks to arrive while a less urgent one waits', () => {
    const admission = full(2, 100);
    for (let index = 0; index < 400; index += 1) {
      admission.noteStarted({}, 0);
      admission.noteFinished(request({ priority: index % 2 }), 100, 0);
    }
    // One ahead of it on average costs 50 ms, and half of the time goes to what is more urgent.
    expect(admission.decide(request({ targetAt: 160 }), 0).kind).toBe('busy');
    expect(admission.decide(request({ targetAt: 210 }), 0).kind).toBe('wait');
    expect(admission.decide(request({ targetAt: 160, priority: 0 }), 0).kind).toBe('wait');
  });

  it('lets the more urgent go first, and equals in the order of arrival', () => {
    const admission = full(1, 10);
    const fate: string[] = [];
    admission.enqueue(waiterOf(request({ priority: 2 }), fate, 'background'));
    admission.enqueue(waiterOf(request({ priority: 1 }), fate, 'first'));
    admission.enqueue(waiterOf(request({ priority: 1 }), fate, 'second'));
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(), 10, 20);
      admission.noteStarted({}, 0);
    }
    expect(fate).toEqual(['first runs', 'second runs', 'background runs']);
  });

  it('does not spend a slot on a task whose target has become out of reach', () => {
    const admission = full(1, 100);
    const fate: string[] = [];
    admission.enqueue(waiterOf(request({ targetAt: 150 }), fate, 'stale'));
    admission.enqueue(waiterOf(request({ targetAt: 900 }), fate, 'fresh'));
    admission.noteFinished(request(), 100, 120);
    expect(fate).toEqual(['stale is turned away', 'fresh runs']);
  });

  it('lets calls of running back ends go before clients of the same priority, not of a higher one', () => {
    const admission = full(1, 10);
    const fate: string[] = [];
    admission.enqueue(waiterOf(request(), fate, 'client'));
    admission.enqueue(waiterOf(request({ isCall: true }), fate, 'call'));
    admission.enqueue(waiterOf(request({ priority: 0 }), fate, 'urgent client'));
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(), 10, 20);
      admission.noteStarted(request(), 0);
    }
    expect(fate).toEqual(['urgent client runs', 'call runs', 'client runs']);
  });

  it('queues and holds a call no longer than it can be in time, as a client', () => {
    const admission = full(2, 100);
    const late = request({ targetAt: 140, deadlineAt: 1_000, isCall: true });
    expect(admission.decide(late, 0).kind).toBe('busy');
    expect(admission.latestStartAt(late)).toBeCloseTo(40);
  });

  it('leaves clients a part of the slots when calls would take them all', () => {
    const admission = new AdmissionControl();
    const fate: string[] = [];
    const call = request({ isCall: true });
    admission.setSlots(4, 0);
    for (let index = 0; index < 4; index += 1) {
      admission.noteStarted(call, 0);
    }
    for (const [name, asked] of [
      ['call', call],
      ['client', request()],
    ] as const) {
      const waiter = waiterOf(asked, fate, name);
      admission.enqueue({
        ...waiter,
        admit: () => {
          admission.noteStarted(asked, 10);
          waiter.admit();
        },
      });
    }
    admission.noteFinished(call, 10, 10);
    expect(fate).toEqual(['client runs']);
    admission.noteFinished(call, 10, 10);
    expect(fate).toEqual(['client runs', 'call runs']);
  });

  it('forgets a task that was taken back', () => {
    const admission = full(1, 10);
    const fate: string[] = [];
    const waiter = waiterOf(request(), fate, 'gone');
    admission.enqueue(waiter);
    admission.remove(waiter);
    admission.noteFinished(request(), 10, 10);
    expect(fate).toEqual([]);
  });

  it('never has more tasks running than slots, in any order of events', () => {
    const step = fc.record({
      kind: fc.constantFrom('arrive', 'finish', 'slots'),
      priority: fc.integer({ min: 0, max: 3 }),
      slots: fc.integer({ min: 1, max: 5 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const admission = new AdmissionControl();
        admission.setSlots(5, 0);
        let running = 0;
        const begin = () => {
          admission.noteStarted({}, 0);
          running += 1;
          expect(running).toBeLessThanOrEqual(5);
        };
        steps.forEach(({ kind, priority }, now) => {
          if (kind === 'finish' && running > 0) {
            running -= 1;
            admission.noteFinished(request(), 10, now);
          } else if (kind === 'arrive') {
            const asked = request({ priority, targetAt: now + 500 });
            const decision = admission.decide(asked, now);
            if (decision.kind === 'run') {
              begin();
            } else if (decision.kind === 'wait') {
              admission.enqueue({ request: asked, since: now, admit: begin, reject: () => {} });
            }
          }
        });
        expect(admission.inFlight).toBe(running);
      }),
      { seed: 11, numRuns: 300 },
    );
  });
});
