/** Guards against sums that are reset with each log line, and lines that repeat earlier amounts. */
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { DecisionLog } from './decision-log.js';
import { startUsageReporter } from './usageReporter.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

it('logs the bytes since the previous line, and keeps the sums since the start', () => {
  const lines: Record<string, unknown>[] = [];
  const log = new DecisionLog(
    'node-1',
    () => 0,
    (bytes, done) => {
      lines.push(JSON.parse(bytes.toString()) as Record<string, unknown>);
      done();
    },
  );
  const reporter = startUsageReporter(log);
  reporter.noteSent('Offer', 100);
  reporter.noteSent('Offer', 50);
  reporter.noteReceived('config', 7);
  reporter.noteRelayed('config', 9);
  reporter.noteReply(3.4);
  reporter.noteReply(12.2);
  reporter.noteReply(5);
  vi.advanceTimersByTime(5_000);
  reporter.noteSent('Pong', 4);
  vi.advanceTimersByTime(5_000);
  reporter.stop();
  vi.advanceTimersByTime(20_000);
  expect(reporter.totals).toEqual({
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
