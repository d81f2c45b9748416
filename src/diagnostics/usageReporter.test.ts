import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { DecisionLog } from './decision-log.js';
import { startUsageReporter } from './usageReporter.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

it('tells what was sent and received since the last line, and begins anew', () => {
  const lines: Record<string, unknown>[] = [];
  const log = new DecisionLog(
    'node-1',
    () => 0,
    (bytes, done) => {
      lines.push(JSON.parse(bytes.toString()) as Record<string, unknown>);
      done();
    },
  );
  const load = startUsageReporter(log);
  load.noteSent('Offer', 100);
  load.noteSent('Offer', 50);
  load.noteReceived('config', 7);
  load.noteRelayed('config', 9);
  load.noteReply(3.4);
  load.noteReply(12.2);
  load.noteReply(5);
  vi.advanceTimersByTime(5_000);
  load.noteSent('Pong', 4);
  vi.advanceTimersByTime(5_000);
  load.stop();
  vi.advanceTimersByTime(20_000);
  expect(load.totals).toEqual({
    sent: { Offer: 150, Pong: 4 },
    received: { config: 7 },
    relayed: { config: 9 },
  });
  expect(lines).toHaveLength(2);
  expect(lines[0]).toMatchObject({
    event: 'load',
    sent: { Offer: 150 },
    received: { config: 7 },
    relayed: { config: 9 },
    longestReplyMs: 12,
  });
  expect(lines[1]).toMatchObject({ sent: { Pong: 4 }, received: {}, longestReplyMs: 0 });
});
