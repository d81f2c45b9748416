import { describe, expect, it } from 'vitest';
import { type QueuedRequest, type QueueWaitContext, queueWaitMs } from './queueWait.js';

const WORK_MS = new Map([
  ['lookup', 50],
  ['report', 800],
]);

const context: QueueWaitContext = {
  slots: 4,
  times: { expectedMs: (route) => WORK_MS.get(route) ?? 0, overallMs: 200 },
  priorityLoad: { shareBelowRank: () => 0 },
};

function request(overrides: Partial<QueuedRequest> = {}): QueuedRequest {
  return { route: 'report', priority: 1, targetAt: 1_000, deadlineAt: 2_000, ...overrides };
}

describe('queueWaitMs', () => {
  it('depends on the work of the tasks ahead, not on their number', () => {
    const lookup = request({ route: 'lookup' });
    expect(queueWaitMs(request(), [lookup, lookup], context)).toBe(75);
    expect(queueWaitMs(request(), [request(), request()], context)).toBe(450);
  });

  it('grows with the share of time that more urgent tasks take', () => {
    const priorityLoad = { shareBelowRank: () => 0.5 };
    expect(queueWaitMs(request(), [], { ...context, priorityLoad })).toBe(100);
  });

  it('is limited for clients by their share of the slots beside calls of the same priority', () => {
    const calls = new Array<QueuedRequest>(40).fill(request({ route: 'lookup', isCall: true }));
    expect(queueWaitMs(request({ isCall: true }), calls, context)).toBe(550);
    expect(queueWaitMs(request(), calls, context)).toBe(200);
    expect(queueWaitMs(request({ priority: 2 }), calls, context)).toBe(550);
  });
});
