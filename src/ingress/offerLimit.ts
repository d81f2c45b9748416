/**
 * Limits the number of owners that a request is offered to before it is refused. Each offer costs
 * both nodes a message and the client time. If a service is full everywhere, further owners reject
 * the request as the first one did. Offers after the first are therefore made only while enough of
 * them have lately been accepted. The second to fourth offers and the later ones are judged
 * separately, each by its own share of accepted offers.
 */

/** Offers of a request that share a moving average of accepted offers. */
interface Stage {
  /** Number of earlier offers of the request at which the stage begins. */
  readonly start: number;
  /** Share of the stage's offers that must lately have been accepted for a request to enter it. */
  readonly minAcceptedShare: number;
}

/**
 * For the client a refusal is the worst answer, and three more offers cost only a few milliseconds.
 * The second to fourth offers are therefore made while they find a free slot for one request in
 * ten, which is one offer in thirty. By the fifth offer the client has already waited, so later
 * offers are made while one in ten is accepted.
 */
const STAGES: readonly Stage[] = [
  { start: 1, minAcceptedShare: 1 / 30 },
  { start: 4, minAcceptedShare: 0.1 },
];

/** Largest number of offers of one request. */
const MAX_OFFERS = 8;

/** Share of requests that enter a stage regardless, to detect that owners have free slots again. */
const PROBE_SHARE = 0.1;

/** Weight of the newest offer of a stage in its moving average. */
const NEWEST_WEIGHT = 0.05;

/** Limits offers per route, as routes of other priorities find free slots at other owners. */
export interface OfferLimit {
  /** Records that an offer was accepted, or rejected because the owner was busy. */
  noteOutcome(route: string, earlierOffers: number, isAccepted: boolean): void;
  /** True if a request with this number of earlier offers may be offered once more. */
  allows(route: string, earlierOffers: number): boolean;
}

export function createOfferLimit(random: () => number = Math.random): OfferLimit {
  const shares = new Map<Stage, Map<string, number>>(STAGES.map((stage) => [stage, new Map()]));
  const shareOf = (stage: Stage, route: string) => shares.get(stage)?.get(route) ?? 1;
  return {
    noteOutcome: (route, earlierOffers, isAccepted) => {
      const stage = STAGES.findLast(({ start }) => earlierOffers >= start);
      if (stage) {
        const share = shareOf(stage, route);
        shares.get(stage)?.set(route, share + ((isAccepted ? 1 : 0) - share) * NEWEST_WEIGHT);
      }
    },
    allows: (route, earlierOffers) => {
      const stage = STAGES.find(({ start }) => earlierOffers === start);
      if (!stage) {
        return earlierOffers < MAX_OFFERS;
      }
      return shareOf(stage, route) >= stage.minAcceptedShare || random() < PROBE_SHARE;
    },
  };
}
