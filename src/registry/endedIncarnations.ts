/**
 * Records which incarnations of back ends have ended or are draining. They receive no more work,
 * even if late heartbeats of them arrive.
 */
import type { BackEndIncarnation } from './backEndIncarnation.js';

/** Maximum number of back ends with ended incarnations that are kept; the oldest are dropped. */
const MAX_BACK_ENDS = 256;

export interface EndedIncarnations {
  /** Records that this incarnation and all earlier ones of the same back end have ended. */
  add(incarnation: BackEndIncarnation): void;
  /** True if the incarnation is known to have ended. A later one under the same id has not. */
  has(incarnation: BackEndIncarnation): boolean;
}

export function createEndedIncarnations(): EndedIncarnations {
  /** Start of the latest ended incarnation by back end id. Undefined if no start was reported. */
  const latestStarts = new Map<string, number | undefined>();
  return {
    add: ({ instance, bornAt }) => {
      const known = latestStarts.get(instance);
      const latest = bornAt === undefined ? known : Math.max(bornAt, known ?? bornAt);
      // Moves the entry to the end, so that the oldest entries are dropped first.
      latestStarts.delete(instance);
      latestStarts.set(instance, latest);
      const [oldest] = latestStarts.keys();
      if (latestStarts.size > MAX_BACK_ENDS && oldest !== undefined) {
        latestStarts.delete(oldest);
      }
    },
    has: ({ instance, bornAt }) => {
      const latest = latestStarts.get(instance);
      return latestStarts.has(instance) && (bornAt === undefined || (latest ?? -1) >= bornAt);
    },
  };
}
