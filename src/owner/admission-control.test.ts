import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AdmissionControl } from './admission-control.js';
import type { AdmissionRequest, Waiter } from './admissionRequest.js';

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

/** An admission control with all slots in use and a known service time. */
function fullAdmission(slots: number, serviceMs: number): AdmissionControl {
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

function waiterOf(taskRequest: AdmissionRequest, events: string[], name: string): Waiter {
  return {
    request: taskRequest,
    since: 0,
    admit: () => events.push(`${name} runs`),
    reject: () => events.push(`${name} is rejected`),
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

  it('runs an exclusive task alone and blocks the tasks behind it meanwhile', () => {
    const admission = new AdmissionControl();
    const events: string[] = [];
    const exclusive = request({ isExclusive: true });
    admission.setSlots(3, 0);
    admission.noteStarted({}, 0);
    expect(admission.decide(exclusive, 0).kind).toBe('wait');
    admission.enqueue({
      ...waiterOf(exclusive, events, 'exclusive'),
      admit: () => {
        admission.noteStarted(exclusive, 0);
        events.push('exclusive runs');
      },
    });
    expect(admission.decide(request(), 0).kind).toBe('wait');
    admission.enqueue(waiterOf(request(), events, 'next'));
    expect(admission.decide(request({ priority: 0 }), 0).kind).toBe('run');
    admission.noteStarted({}, 0);
    admission.noteFinished(request(), 10, 1);
    expect(events).toEqual([]);
    admission.noteFinished(request(), 10, 1);
    expect(events).toEqual(['exclusive runs']);
    expect(admission.decide(request({ priority: 0 }), 1).kind).not.toBe('run');
    admission.noteFinished(exclusive, 10, 2);
    expect(events).toEqual(['exclusive runs', 'next runs']);
  });

  it('rejects an exclusive task if the running tasks would end too late', () => {
    const admission = fullAdmission(4, 100);
    const exclusive = request({ isExclusive: true, targetAt: 180 });
    expect(admission.decide(request({ targetAt: 180 }), 0).kind).toBe('wait');
    expect(admission.decide(exclusive, 0).kind).toBe('busy');
  });

  it('rejects a task at once if it can no longer meet its target', () => {
    const admission = fullAdmission(2, 100);
    expect(admission.decide(request({ targetAt: 160 }), 0).kind).toBe('wait');
    const decision = admission.decide(request({ targetAt: 140 }), 0);
    expect(decision.kind).toBe('busy');
    expect(decision.kind === 'busy' && decision.retryAfterMs).toBeGreaterThan(0);
  });

  it('rejects a task that may not wait unless a slot is free', () => {
    const admission = fullAdmission(2, 100);
    expect(admission.decide(request({ mayWait: false }), 0).kind).toBe('busy');
    expect(admission.decide(request(), 0).kind).toBe('wait');
    admission.noteFinished(request(), 100, 0);
    expect(admission.decide(request({ mayWait: false }), 0).kind).toBe('run');
  });

  it('expects more urgent tasks to arrive while a less urgent one waits', () => {
    const admission = fullAdmission(2, 100);
    for (let index = 0; index < 400; index += 1) {
      admission.noteStarted({}, 0);
      admission.noteFinished(request({ priority: index % 2 }), 100, 0);
    }
    // A slot is free after 50 ms on average, and more urgent tasks take half of the back end's
    // time.
    expect(admission.decide(request({ targetAt: 160 }), 0).kind).toBe('busy');
    expect(admission.decide(request({ targetAt: 210 }), 0).kind).toBe('wait');
    expect(admission.decide(request({ targetAt: 160, priority: 0 }), 0).kind).toBe('wait');
  });

  it('runs more urgent tasks first, and tasks of the same priority in the order of arrival', () => {
    const admission = fullAdmission(1, 10);
    const events: string[] = [];
    admission.enqueue(waiterOf(request({ priority: 2 }), events, 'background'));
    admission.enqueue(waiterOf(request({ priority: 1 }), events, 'first'));
    admission.enqueue(waiterOf(request({ priority: 1 }), events, 'second'));
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(), 10, 20);
      admission.noteStarted({}, 0);
    }
    expect(events).toEqual(['first runs', 'second runs', 'background runs']);
  });

  it('rejects a waiting task instead of running it if it can no longer meet its target', () => {
    const admission = fullAdmission(1, 100);
    const events: string[] = [];
    admission.enqueue(waiterOf(request({ targetAt: 150 }), events, 'late'));
    admission.enqueue(waiterOf(request({ targetAt: 900 }), events, 'in time'));
    admission.noteFinished(request(), 100, 120);
    expect(events).toEqual(['late is rejected', 'in time runs']);
  });

  it('runs calls before clients of the same priority, but not before more urgent clients', () => {
    const admission = fullAdmission(1, 10);
    const events: string[] = [];
    admission.enqueue(waiterOf(request(), events, 'client'));
    admission.enqueue(waiterOf(request({ isCall: true }), events, 'call'));
    admission.enqueue(waiterOf(request({ priority: 0 }), events, 'urgent client'));
    for (let index = 0; index < 3; index += 1) {
      admission.noteFinished(request(), 10, 20);
      admission.noteStarted(request(), 0);
    }
    expect(events).toEqual(['urgent client runs', 'call runs', 'client runs']);
  });

  it('lets a call, like a client, wait only while it can meet its target', () => {
    const admission = fullAdmission(2, 100);
    const late = request({ targetAt: 140, deadlineAt: 1_000, isCall: true });
    expect(admission.decide(late, 0).kind).toBe('busy');
    expect(admission.latestStartAt(late)).toBeCloseTo(40);
  });

  it('reserves a share of the slots for clients if calls would use them all', () => {
    const admission = new AdmissionControl();
    const events: string[] = [];
    const call = request({ isCall: true });
    admission.setSlots(4, 0);
    for (let index = 0; index < 4; index += 1) {
      admission.noteStarted(call, 0);
    }
    for (const [name, taskRequest] of [
      ['call', call],
      ['client', request()],
    ] as const) {
      const waiter = waiterOf(taskRequest, events, name);
      admission.enqueue({
        ...waiter,
        admit: () => {
          admission.noteStarted(taskRequest, 10);
          waiter.admit();
        },
      });
    }
    admission.noteFinished(call, 10, 10);
    expect(events).toEqual(['client runs']);
    admission.noteFinished(call, 10, 10);
    expect(events).toEqual(['client runs', 'call runs']);
  });

  it('does not run a task that was removed from the queue', () => {
    const admission = fullAdmission(1, 10);
    const events: string[] = [];
    const waiter = waiterOf(request(), events, 'removed');
    admission.enqueue(waiter);
    admission.remove(waiter);
    admission.noteFinished(request(), 10, 10);
    expect(events).toEqual([]);
  });

  it('never runs more tasks than there are slots, in any order of events', () => {
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
            const taskRequest = request({ priority, targetAt: now + 500 });
            const decision = admission.decide(taskRequest, now);
            if (decision.kind === 'run') {
              begin();
            } else if (decision.kind === 'wait') {
              admission.enqueue({
                request: taskRequest,
                since: now,
                admit: begin,
                reject: () => {},
              });
            }
          }
        });
        expect(admission.inFlight).toBe(running);
      }),
      { seed: 11, numRuns: 300 },
    );
  });
});
