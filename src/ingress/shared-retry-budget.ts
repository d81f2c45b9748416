/**
 * This node's part of a retry budget that all nodes share. In every window, the number of repeats at
 * a service may be at most `ratio` times the number of clients' requests for it, plus a fixed number
 * (`slack`). Repeats are retries, and the calls that a repeated run makes anew. Each node
 * spends only what its own requests have earned and its part of the slack, so the sum over all
 * nodes stays within the bound without a coordinator. The budget of a window may be spent at any
 * time in it, so that a short fault can use all of it.
 */

import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';
import type { RetryCost } from './retryCost.js';

/** The bound on the repeats of all nodes together. */
export interface RetryBudgetBounds {
  /** Repeats allowed per request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats allowed in each window in addition to `ratio` times the requests. */
  readonly slack: number;
}

/**
 * Share of the earned repeats and of this node's part of the slack that is used. Of that part, up
 * to one whole retry is used. The rest is kept for repeats that this node cannot see.
 */
const USED_SHARE = 0.5;

interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly repeats: SlidingWindowCounter;
}

/** A retry that has been paid for. */
export interface RetryPayment {
  /** Puts everything back: the retry did not reach a back end. */
  refund(): void;
}

/** Dependencies on the node. */
export interface SharedRetryBudgetContext {
  readonly bound: () => RetryBudgetBounds;
  /** Number of nodes that share the slack; infinite while it is unknown. */
  readonly nodes: () => number;
  /**
   * Steady time in milliseconds at which this node was started again. Undefined if it has not run
   * before.
   */
  readonly restartedAt?: number | undefined;
}

/** The retry budget of a node. */
export class SharedRetryBudget {
  private readonly counts = new Map<string, ServiceCounts>();
  /** Largest number of nodes since this node started. */
  private maxNodes = 1;

  constructor(private readonly context: SharedRetryBudgetContext) {}

  /**
   * True for one window after a restart. The node may have spent its part of the slack shortly
   * before, and does not know it, so it spends only what it has earned since.
   */
  mayOweRepeats(now: number): boolean {
    const { bound, restartedAt } = this.context;
    return restartedAt !== undefined && now < restartedAt + bound().windowMs;
  }

  /** Counts a client's request for a service; calls of back ends don't count. It raises the number of allowed repeats by less than one. */
  noteRequest(service: string, now: number): void {
    this.countsOf(service).requests.add(now);
  }

  /** A service whose budget does not allow its part of the cost. Undefined if all allow theirs. */
  lacking(cost: RetryCost, now: number): string | undefined {
    for (const [service, repeats] of cost) {
      if (this.remaining(service, now, repeats) < repeats) {
        return service;
      }
    }
    return undefined;
  }

  /** Takes the cost from the budgets, which must allow it; see {@link lacking}. */
  pay(cost: RetryCost, now: number): RetryPayment {
    for (const [service, repeats] of cost) {
      this.countsOf(service).repeats.add(now, repeats);
    }
    return {
      refund: () => {
        for (const [service, repeats] of cost) {
          this.countsOf(service).repeats.remove(now, repeats);
        }
      },
    };
  }

  /**
   * Number of repeats left for a service in the window that ends now, for a retry that causes
   * `wanted` of them.
   */
  private remaining(service: string, now: number, wanted: number): number {
    const { ratio, slack } = this.context.bound();
    const { requests, repeats } = this.countsOf(service);
    const earned = ratio * USED_SHARE * requests.lowerBound(now);
    return this.ownSlack(slack, wanted, now) + earned - repeats.upperBound(now);
  }

  /**
   * This node's part of the slack. A part below one retry is not rounded up, as many nodes together
   * would then exceed the bound. Requests must earn the missing fraction.
   */
  private ownSlack(slack: number, wanted: number, now: number): number {
    // The part does not grow while other nodes are away, as they may come back.
    const nodes = this.context.nodes();
    if (!Number.isFinite(nodes) || this.mayOweRepeats(now)) {
      return 0;
    }
    this.maxNodes = Math.max(this.maxNodes, nodes);
    const part = slack / Math.max(1, this.maxNodes);
    return Math.max(part * USED_SHARE, Math.min(wanted, part));
  }

  private countsOf(service: string): ServiceCounts {
    const existing = this.counts.get(service);
    if (existing) {
      return existing;
    }
    const { windowMs } = this.context.bound();
    const created = {
      requests: createSlidingWindowCounter(windowMs),
      repeats: createSlidingWindowCounter(windowMs),
    };
    this.counts.set(service, created);
    return created;
  }
}
