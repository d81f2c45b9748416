/** What tenants have used of late at one node: for operators, who add it up over the fleet. */
import * as z from 'zod';
import type { Clock } from '../model/clock.js';
import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';

/** Counted are the requests of this time, in milliseconds: long enough for a tenant of one in a few seconds. */
export const USAGE_WINDOW_MS = 10_000;

const useSchema = z.object({
  name: z.string(),
  /** Ended requests of the window: those that its limit did not refuse, whatever became of them, and those that it did. */
  admitted: z.number().int().min(0),
  refused: z.number().int().min(0),
});

/** What one tenant has used at one node. */
export type TenantUsage = z.infer<typeof useSchema>;

export interface TenantUsageCounter {
  /** A request of a tenant has ended; `isRefused` if its limit refused it. */
  note(tenant: string, isRefused: boolean): void;
  /** As it travels to an operator. */
  serialize(): Buffer;
}

interface Counts {
  readonly admitted: SlidingWindowCounter;
  readonly refused: SlidingWindowCounter;
}

/** Keeps one pair of counts for each tenant that has sent a request here: as many as configurations name. */
export function createTenantUsageCounter(clock: Clock): TenantUsageCounter {
  const counts = new Map<string, Counts>();
  return {
    note: (tenant, isRefused) => {
      const known = counts.get(tenant) ?? {
        admitted: createSlidingWindowCounter(USAGE_WINDOW_MS),
        refused: createSlidingWindowCounter(USAGE_WINDOW_MS),
      };
      counts.set(tenant, known);
      (isRefused ? known.refused : known.admitted).add(clock.now());
    },
    serialize: () => {
      const now = clock.now();
      const uses = [...counts].map(
        ([name, { admitted, refused }]): TenantUsage => ({
          name,
          admitted: admitted.upperBound(now),
          refused: refused.upperBound(now),
        }),
      );
      return Buffer.from(JSON.stringify(uses));
    },
  };
}

/** Undefined if a node has said anything else. */
export function parseTenantUsage(bytes: Buffer): readonly TenantUsage[] | undefined {
  try {
    return z.array(useSchema).parse(JSON.parse(bytes.toString()));
  } catch {
    return undefined;
  }
}
