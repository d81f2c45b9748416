import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeCrashAnnouncement, encodeCrashAnnouncement } from './crashAnnouncementCodec.js';

const keys = fc.array(fc.record({ fingerprint: fc.string(), caller: fc.string() }));

const news = fc.record({
  incarnation: fc.option(fc.string(), { nil: undefined }),
  suspects: keys,
  quarantined: keys,
  cleared: keys,
});

describe('news of crashes', () => {
  it('come out as they went in', () => {
    fc.assert(
      fc.property(news, (told) => {
        expect(decodeCrashAnnouncement(encodeCrashAnnouncement(told))).toEqual(told);
      }),
      { seed: 13, numRuns: 200 },
    );
  });

  it('are none when they are something else', () => {
    for (const value of [undefined, 'i-1', [], ['i-1', [], []], ['i-1', [['f']], [], []]]) {
      expect(decodeCrashAnnouncement(value)).toBeUndefined();
    }
  });
});
