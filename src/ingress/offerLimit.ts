/**
 * How many owners a request is offered to before it is refused. Each offer costs both nodes a message
 * and the client time; where a service is full everywhere, the next owner says what the last one said.
 * So the offers after the first go on only while they have been worth it lately: the second to fourth
 * by their own record, and those after them by theirs.
 */

/** Offers whose worth is told together: those after the first, and those from the fifth on. */
const STAGE_STARTS = [1, 4] as const;

/** The most offers that one request may make. */
const MAX_OFFERS = 8;

/** Offers that a client may make in any case that has come back as it was told. */
const RETURNED_OFFERS = 4;

/** Share of the later offers that must have been taken lately, for more of them to be made. */
const WORTHWHILE_SHARE = 0.1;

/** Part of the requests that go on all the same, so that room that has come about is found. */
const PROBING_SHARE = 0.1;

/** Weight of the newest later offer in the moving average. */
const WEIGHT = 0.1;

/** Kept by the ingress for each route: routes of other priorities find room elsewhere. */
export interface OfferLimit {
  /** The offer after so many others was taken, or turned away for want of room. */
  note(route: string, earlier: number, isTaken: boolean): void;
  /** True when a request that has made so many offers may make one more. */
  allows(route: string, earlier: number, hasWaited?: boolean): boolean;
}

export function createOfferLimit(random: () => number = Math.random): OfferLimit {
  const shares = new Map<string, number>();
  const keyOf = (route: string, stage: number) => `${stage} ${route}`;
  const shareOf = (route: string, stage: number) => shares.get(keyOf(route, stage)) ?? 1;
  return {
    note: (route, earlier, isTaken) => {
      const stage = STAGE_STARTS.findLast((start) => earlier >= start);
      if (stage !== undefined) {
        const share = shareOf(route, stage);
        shares.set(keyOf(route, stage), share + ((isTaken ? 1 : 0) - share) * WEIGHT);
      }
    },
    allows: (route, earlier, hasWaited = false) => {
      if (hasWaited && earlier < RETURNED_OFFERS) {
        return true;
      }
      const stage = STAGE_STARTS.find((start) => earlier === start);
      if (stage === undefined) {
        return earlier < MAX_OFFERS;
      }
      return shareOf(route, stage) >= WORTHWHILE_SHARE || random() < PROBING_SHARE;
    },
  };
}
