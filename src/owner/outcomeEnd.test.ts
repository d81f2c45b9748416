import { expect, it } from 'vitest';
import { EMPTY_BODY } from './message-body.js';
import { afterEnd, whenEnded } from './outcomeEnd.js';
import type { OwnerAnswer, OwnerOutcome, UnknownReason } from './owner.js';

const WHOLE: OwnerAnswer = { kind: 'answer', status: 200, headers: [], body: EMPTY_BODY };

function streamed(): { answer: OwnerAnswer; end: (reason: UnknownReason | undefined) => void } {
  let end: (reason: UnknownReason | undefined) => void = () => {};
  const ended = new Promise<UnknownReason | undefined>((resolve) => {
    end = resolve;
  });
  return { answer: { ...WHOLE, end: ended }, end: (reason) => end(reason) };
}

it('takes an outcome without a streamed answer for final at once', () => {
  const outcomes: OwnerOutcome[] = [WHOLE, { kind: 'unknown', reason: 'cancelled' }];
  const final: OwnerOutcome[] = [];
  for (const outcome of outcomes) {
    whenEnded(outcome, (finalOutcome) => final.push(finalOutcome));
  }
  expect(final).toEqual(outcomes);
});

// Guards against back ends that counted as sound though their long answers broke off.
it.each([undefined, 'connection-lost', 'cancelled'] as const)(
  'waits for the end of a streamed answer: %s',
  async (reason) => {
    const { answer, end } = streamed();
    const final: OwnerOutcome[] = [];
    whenEnded(answer, (finalOutcome) => final.push(finalOutcome));
    await Promise.resolve();
    expect(final).toEqual([]);
    end(reason);
    await answer.end;
    expect(final).toEqual([reason === undefined ? answer : { kind: 'unknown', reason }]);
  },
);

it('passes a streamed answer on at once, and its end after the callback', async () => {
  const { answer, end } = streamed();
  const events: string[] = [];
  const passedOn = await afterEnd(answer, async () => {
    await Promise.resolve();
    events.push('callback');
  });
  events.push('passed on');
  whenEnded(passedOn, ({ kind }) => events.push(kind));
  end('connection-lost');
  await (passedOn as OwnerAnswer).end;
  expect(events).toEqual(['passed on', 'callback', 'unknown']);
});
