import { describe, expect, it } from 'vitest';
import { createOfferLimit } from './offerLimit.js';

const NEVER = () => 0.99;

/** Number of offers that a request may make if none is accepted. */
function allowedOffers(limit: ReturnType<typeof createOfferLimit>, route = 'desk'): number {
  let offers = 0;
  while (limit.allows(route, offers)) {
    offers += 1;
  }
  return offers;
}

describe('createOfferLimit', () => {
  it('allows eight offers while one in four of the later ones is accepted', () => {
    const limit = createOfferLimit(NEVER);
    expect(allowedOffers(limit)).toBe(8);
    for (let index = 0; index < 200; index += 1) {
      limit.noteOutcome('desk', 5, index % 4 === 0);
    }
    expect(allowedOffers(limit)).toBe(8);
  });

  it('allows four offers on a route whose later offers were all rejected', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 100; index += 1) {
      limit.noteOutcome('desk', 5, false);
    }
    expect(allowedOffers(limit)).toBe(4);
    expect(allowedOffers(limit, 'vault')).toBe(8);
  });

  it('allows eight offers again after probes were accepted', () => {
    let isProbing = true;
    const limit = createOfferLimit(() => (isProbing ? 0 : 0.99));
    for (let index = 0; index < 100; index += 1) {
      limit.noteOutcome('desk', 5, false);
    }
    expect(allowedOffers(limit)).toBe(8);
    for (let index = 0; index < 4; index += 1) {
      limit.noteOutcome('desk', 4, true);
    }
    isProbing = false;
    expect(allowedOffers(limit)).toBe(8);
  });

  it('allows one offer on a route whose second to fourth offers were all rejected', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 100; index += 1) {
      limit.noteOutcome('desk', 1 + (index % 3), false);
    }
    expect(allowedOffers(limit)).toBe(1);
    expect(allowedOffers(limit, 'vault')).toBe(8);
  });

  it('allows at least four offers while one in fifteen of the second to fourth is accepted', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 300; index += 1) {
      limit.noteOutcome('desk', 5, false);
      limit.noteOutcome('desk', 1 + (index % 3), index % 15 === 0);
      expect(allowedOffers(limit)).toBeGreaterThanOrEqual(4);
    }
  });

  it('ignores the outcomes of first offers', () => {
    const limit = createOfferLimit(NEVER);
    for (let index = 0; index < 500; index += 1) {
      limit.noteOutcome('desk', 0, false);
    }
    expect(allowedOffers(limit)).toBe(8);
  });
});
