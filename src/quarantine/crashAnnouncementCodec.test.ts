import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeCrashAnnouncement, encodeCrashAnnouncement } from './crashAnnouncementCodec.js';

const keys = fc.array(fc.record({ fingerprint: fc.string(), caller: fc.string() }));

const announcements = fc.record({
  incarnation: fc.option(fc.string(), { nil: undefined }),
  suspects: keys,
  quarantined: keys,
  cleared: keys,
});

describe('crash announcements', () => {
  it('are decoded as they were encoded', () => {
    fc.assert(
      fc.property(announcements, (announcement) => {
        expect(decodeCrashAnnouncement(encodeCrashAnnouncement(announcement))).toEqual(
          announcement,
        );
      }),
      { seed: 13, numRuns: 200 },
    );
  });

  it('decode to undefined from any other value', () => {
    for (const value of [undefined, 'i-1', [], ['i-1', [], []], ['i-1', [['f']], [], []]]) {
      expect(decodeCrashAnnouncement(value)).toBeUndefined();
    }
  });
});
