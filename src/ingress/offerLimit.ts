/**
 * How many owners a request is offered to before it is refused. Each offer costs both nodes a message
 * and the client time; where a service is full everywhere, the fifth owner says what the fourth said.
 * So the offers after the first few go on only while they have been worth it lately.
 */

/** Offers that any request may make, and the most that one may make. */
const FREE_OFFERS = 4;
const MAX_OFFERS = 8;

/** Share of the later offers that must have been taken lately, for more of them to be made. */
const WORTHWHILE_SHARE = 0.1;

/** Part of the requests that go on all the same, so that room that has come about is found. */
const PROBING_SHARE = 0.1;

/** Weight of the newest later offer in the moving average. */
const WEIGHT = 0.05;

/** Kept by the ingress for each service. */
export interface OfferLimit {
  /** The offer after so many others was taken, or turned away for want of room. */
  note(service: string, earlier: number, isTaken: boolean): void;
  /** True when a request that has made so many offers may make one more. */
  allows(service: string, earlier: number): boolean;
}

export function createOfferLimit(random: () => number = Math.random): OfferLimit {
  const shares = new Map<string, number>();
  return {
    note: (service, earlier, isTaken) => {
      if (earlier >= FREE_OFFERS) {
        const share = shares.get(service) ?? 1;
        shares.set(service, share + ((isTaken ? 1 : 0) - share) * WEIGHT);
      }
    },
    allows: (service, earlier) => {
      if (earlier !== FREE_OFFERS) {
        return earlier < MAX_OFFERS;
      }
      return (shares.get(service) ?? 1) >= WORTHWHILE_SHARE || random() < PROBING_SHARE;
    },
  };
}
