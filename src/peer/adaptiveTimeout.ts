/**
 * Computes how long another node may stay silent before it counts as not answering. The timeout
 * follows the mean and the deviation of the node's response times, as TCP's retransmission timeout
 * does (RFC 6298, section 2). A node that is short of processor time answers later and later; it
 * gets a longer timeout, because moving its load to the other nodes would overload those in turn.
 */

/** Weights of the newest response time in the mean and in the deviation (RFC 6298, section 2.3). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations that the timeout lies above the mean (RFC 6298, section 2.3). */
const DEVIATION_FACTOR = 4;

/** Bounds of the timeout, in milliseconds. */
const MIN_TIMEOUT_MS = 250;
const MAX_TIMEOUT_MS = 1_000;

/** The timeout for one node. */
export interface AdaptiveTimeout {
  /** Milliseconds that the node may stay silent. */
  readonly currentMs: number;
  /** Records that the node has answered after this many milliseconds. */
  noteReply(tookMs: number): void;
}

export function createAdaptiveTimeout(): AdaptiveTimeout {
  let meanMs: number | undefined;
  let deviationMs = 0;
  return {
    get currentMs() {
      const timeoutMs = (meanMs ?? 0) + DEVIATION_FACTOR * deviationMs;
      return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, timeoutMs));
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
