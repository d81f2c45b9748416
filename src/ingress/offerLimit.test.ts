import { describe, expect, it } from 'vitest';
import { createOfferLimit } from './offerLimit.js';

const NEVER = () => 0.99;

/** Offers that a request may make while none is taken. */
function offersOf(limit: ReturnType<typeof createOfferLimit>, route = 'desk'): number {
  let made = 0;
  while (limit.allows(route, made)) {
    made += 1;
  }
  return made;
}

describe('the limit of offers', () => {
  it('is eight while later offers are taken', () => {
    const limit = createOfferLimit(NEVER);
    expect(offersOf(limit)).toBe(8);
    for (let index = 0; index < 200; index += 1) {
      limit.noteOutcome('desk', 5, index % 4 === 0);
    }
    expect(offersOf(limit)).toBe(8);
  });

  it('falls to four where later offers are in vain, for that route alone', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 100; index += 1) {
      limit.noteOutcome('desk', 5, false);
    }
    expect(offersOf(limit)).toBe(4);
    expect(offersOf(limit, 'vault')).toBe(8);
  });

  it('rises again once some requests that go on all the same find room', () => {
    let probes = true;
    const limit = createOfferLimit(() => (probes ? 0 : 0.99));
    for (let index = 0; index < 100; index += 1) {
      limit.noteOutcome('desk', 5, false);
    }
    expect(offersOf(limit)).toBe(8);
    for (let index = 0; index < 4; index += 1) {
      limit.noteOutcome('desk', 4, true);
    }
    probes = false;
    expect(offersOf(limit)).toBe(8);
  });

  it('falls to one where the second to fourth offers are in vain too, for that route alone', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 100; index += 1) {
      limit.noteOutcome('desk', 1 + (index % 3), false);
    }
    expect(offersOf(limit)).toBe(1);
    expect(offersOf(limit, 'vault')).toBe(8);
  });

  it('stays at four while one request in five finds room with the second to fourth', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 300; index += 1) {
      limit.noteOutcome('desk', 5, false);
      limit.noteOutcome('desk', 1 + (index % 3), index % 15 === 0);
      expect(offersOf(limit)).toBeGreaterThanOrEqual(4);
    }
  });

  it('learns nothing from the first offer', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 500; index += 1) {
      limit.noteOutcome('desk', 0, false);
    }
    expect(offersOf(limit)).toBe(8);
  });
});
