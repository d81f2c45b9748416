/**
 * How many owners a request is offered to before it is refused. Each offer costs both nodes a message
 * and the client time; where a service is full everywhere, the next owner says what the last one said.
 * So the offers after the first go on only while they have been worth it lately: the second to fourth
 * by their own record, and those after them by theirs.
 */

/** Offers that are judged together. */
interface Stage {
  /** Offers that a request has made before. */
  readonly start: number;
  /** Share of its offers that must have been taken lately, for a request to enter it. */
  readonly worthwhileShare: number;
}

/**
 * To the client a refusal is the worst of answers, and three more offers cost a few milliseconds: they go
 * on while one request in ten finds room with them, one offer in thirty. Those after the fourth have
 * had the client wait already, and go on while one offer in ten is taken.
 */
const STAGES: readonly Stage[] = [
  { start: 1, worthwhileShare: 1 / 30 },
  { start: 4, worthwhileShare: 0.1 },
];

/** The most offers that one request may make. */
const MAX_OFFERS = 8;

/** Part of the requests that go on all the same, so that room that has come about is found. */
const PROBING_SHARE = 0.1;

/** Weight of the newest offer of a stage in the moving average. */
const WEIGHT = 0.05;

/** Kept by the ingress for each route: routes of other priorities find room elsewhere. */
export interface OfferLimit {
  /** The offer after so many others was taken, or turned away for want of room. */
  noteOutcome(route: string, earlier: number, isTaken: boolean): void;
  /** True when a request that has made so many offers may make one more. */
  allows(route: string, earlier: number): boolean;
}

export function createOfferLimit(random: () => number = Math.random): OfferLimit {
  const shares = new Map<Stage, Map<string, number>>(STAGES.map((stage) => [stage, new Map()]));
  const shareOf = (stage: Stage, route: string) => shares.get(stage)?.get(route) ?? 1;
  return {
    noteOutcome: (route, earlier, isTaken) => {
      const stage = STAGES.findLast(({ start }) => earlier >= start);
      if (stage) {
        const share = shareOf(stage, route);
        shares.get(stage)?.set(route, share + ((isTaken ? 1 : 0) - share) * WEIGHT);
      }
    },
    allows: (route, earlier) => {
      const stage = STAGES.find(({ start }) => earlier === start);
      if (!stage) {
        return earlier < MAX_OFFERS;
      }
      return shareOf(stage, route) >= stage.worthwhileShare || random() < PROBING_SHARE;
    },
  };
}
