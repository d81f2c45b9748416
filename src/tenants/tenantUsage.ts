/** Recent requests of tenants at one node. Operators' commands add the numbers of all nodes up. */
import * as z from 'zod';
import type { Clock } from '../model/clock.js';
import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';

/**
 * Length of the counted window, in milliseconds: long enough to show a tenant that sends one
 * request every few seconds.
 */
export const USAGE_WINDOW_MS = 10_000;

const usageSchema = z.object({
  name: z.string(),
  /**
   * Upper bound of the number of ended requests in the window that the tenant's limit did not
   * refuse, whatever their result.
   */
  admitted: z.number().int().min(0),
  /** Upper bound of the number of requests in the window that the tenant's limit refused. */
  refused: z.number().int().min(0),
});

/** Requests of one tenant at one node. */
export type TenantUsage = z.infer<typeof usageSchema>;

export interface TenantUsageCounter {
  /** Counts a request that has ended; `isRefused` if the tenant's limit refused it. */
  note(tenant: string, isRefused: boolean): void;
  /** Encodes the counts for {@link parseTenantUsage}. */
  serialize(): Buffer;
}

interface Counts {
  readonly admitted: SlidingWindowCounter;
  readonly refused: SlidingWindowCounter;
}

/**
 * Keeps a pair of counters for each tenant that has sent a request to this node. Their number is
 * limited by the tenants that configurations define.
 */
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
      const usages = [...counts].map(
        ([name, { admitted, refused }]): TenantUsage => ({
          name,
          admitted: admitted.upperBound(now),
          refused: refused.upperBound(now),
        }),
      );
      return Buffer.from(JSON.stringify(usages));
    },
  };
}

/** Decodes a node's usage. Undefined if the bytes are not in the expected form. */
export function parseTenantUsage(bytes: Buffer): readonly TenantUsage[] | undefined {
  try {
    return z.array(usageSchema).parse(JSON.parse(bytes.toString()));
  } catch {
    return undefined;
  }
}
