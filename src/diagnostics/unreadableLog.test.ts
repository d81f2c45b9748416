/** Guards against a log flooded by a writer that keeps sending entries that cannot be decoded. */
import { expect, it } from 'vitest';
import { createUnreadableLog, UnreadableEntryKind } from './unreadableLog.js';

it('logs one line per kind and interval, with the number of entries since the line before', () => {
  const lines: unknown[] = [];
  let now = 0;
  const note = createUnreadableLog(
    { now: () => now },
    { event: (event, fields) => void lines.push({ event, ...fields }) },
  );
  for (now = 0; now < 10_000; now += 100) {
    note(UnreadableEntryKind.Heartbeat, `i-${now}`, 'not readable: state');
  }
  note(UnreadableEntryKind.OwnerRecord, 'n'.repeat(1_000), 'not readable');
  now = 10_000;
  note(UnreadableEntryKind.Heartbeat, 'i-last', 'not readable: slots');
  const reason = 'not readable: state';
  expect(lines).toEqual([
    { event: 'unreadable', kind: 'heartbeat', name: 'i-0', reason, count: 1 },
    {
      event: 'unreadable',
      kind: 'owner-record',
      name: 'n'.repeat(120),
      reason: 'not readable',
      count: 1,
    },
    {
      event: 'unreadable',
      kind: 'heartbeat',
      name: 'i-last',
      reason: 'not readable: slots',
      count: 100,
    },
  ]);
});
