/**
 * How long another node may stay silent before it is taken for dead: what it usually takes to
 * answer, and its variation, as TCP does for retransmissions (RFC 6298, section 2). A node that is
 * short of processor time answers later and later, and is given more time instead of being left
 * alone, which would bring its load to the others.
 */

/** Weights of the newest answer in the mean and in the deviation (RFC 6298, section 2.3). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations above the mean that are still usual (RFC 6298, section 2.3). */
const DEVIATIONS = 4;

/** Shortest and longest limit, in milliseconds. */
const SHORTEST_MS = 250;
const LONGEST_MS = 1_000;

/** Learns from the answers of one node. */
export interface AdaptiveTimeout {
  /** Milliseconds that the node may stay silent. */
  readonly currentMs: number;
  /** The node has answered after this many milliseconds. */
  noteReply(tookMs: number): void;
}

export function createAdaptiveTimeout(): AdaptiveTimeout {
  let meanMs: number | undefined;
  let deviationMs = 0;
  return {
    get currentMs() {
      const usualMs = (meanMs ?? 0) + DEVIATIONS * deviationMs;
      return Math.min(LONGEST_MS, Math.max(SHORTEST_MS, usualMs));
    },
    noteReply: (tookMs) => {
      if (meanMs === undefined) {
        meanMs = tookMs;
        deviationMs = tookMs / 2;
        return;
      }
      deviationMs += (Math.abs(tookMs - meanMs) - deviationMs) * DEVIATION_WEIGHT;
      meanMs += (tookMs - meanMs) * MEAN_WEIGHT;
    },
  };
}
