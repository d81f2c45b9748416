import { expect, it } from 'vitest';
import { ownerTask } from '../../test/fixtures.js';
import { monotonicClock } from '../model/clock.js';
import { type BackEndRun, RunResult } from '../rollout/runCounts.js';
import { createBackEndObservations } from './backEndObservations.js';
import { createBackEndSender } from './backEndSender.js';
import { DEFAULT_HEADER_NAMES } from './header-names.js';
import { EMPTY_BODY } from './message-body.js';
import type { EndedBackEndCall, MonitoredCalls } from './monitoredCalls.js';
import type { OwnerAnswer } from './owner.js';

const BACK_END = {
  instance: 'i-1',
  service: 'desk',
  address: '127.0.0.1:1',
  slots: 2,
  state: 'ready',
  coldUntil: 0,
  sequence: 1,
  version: 'v2',
  bornAt: undefined,
} as const;

const ANSWER: OwnerAnswer = { kind: 'answer', status: 200, headers: [], body: EMPTY_BODY };

/** Sends one task whose call ends as given; returns what the roll-out learns of the run. */
async function runsOf(ended: Partial<EndedBackEndCall>): Promise<BackEndRun[]> {
  const runs: BackEndRun[] = [];
  const calls: MonitoredCalls = {
    call: async (_task, _body, _options, onEnded) => {
      onEnded({ outcome: ANSWER, unreachable: false, tookMs: 7, ...ended });
      return ANSWER;
    },
    noteIncarnation: () => {},
  };
  const clock = monotonicClock;
  const timers = { set: () => () => {} };
  const sender = createBackEndSender({
    clock,
    freshnessClock: clock,
    names: DEFAULT_HEADER_NAMES,
    calls,
    observations: createBackEndObservations({ clock, timers, onOverdue: () => {} }),
    currentBackEnd: () => BACK_END,
    onNotice: () => {},
    onUnreachable: () => {},
    onRun: (run) => runs.push(run),
  });
  await sender.send(ownerTask(), EMPTY_BODY, BACK_END);
  sender.close();
  return runs;
}

// Guards against versions that proved good though their long answers broke off.
it.each([
  ['connection-lost', RunResult.ConnectionLost],
  ['spoilt-answer', RunResult.Failed],
  ['cancelled', RunResult.Cancelled],
] as const)('counts an answer that broke off (%s) against its version', async (reason, result) => {
  const runs = await runsOf({ outcome: { kind: 'unknown', reason } });
  expect(runs).toMatchObject([{ version: 'v2', result, tookMs: 7 }]);
});

it('counts an answer that nobody read neither for nor against its version', async () => {
  expect(await runsOf({ outcome: { kind: 'unknown', reason: 'unread' } })).toEqual([]);
});

it('measures an answer by the time until it began', async () => {
  expect(await runsOf({})).toMatchObject([{ result: RunResult.Answered, tookMs: 7 }]);
});
