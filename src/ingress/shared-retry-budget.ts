/**
 * This node's part of a retry budget that all nodes share. In every window, the number of retries
 * may be at most `ratio` times the number of requests, plus a fixed number (`slack`). Each node
 * spends only what its own requests have earned and its part of the slack, so the sum over all
 * nodes stays within the bound without a coordinator. The budget of a window may be spent at any
 * time in it, so that a short fault can use all of it.
 */

import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';

/** The bound on the retries of all nodes together. */
export interface RetryBudgetBounds {
  /** Retries allowed per request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed in each window in addition to `ratio` times the requests. */
  readonly slack: number;
}

/**
 * Share of the earned retries and of this node's part of the slack that is used. Of that part, up
 * to one whole retry is used. The rest is kept for retries that this node cannot see.
 */
const USED_SHARE = 0.5;

interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/** The retry budget of a node. */
export class SharedRetryBudget {
  private readonly counts = new Map<string, ServiceCounts>();
  /** Largest number of nodes since this node started. */
  private maxNodes = 1;

  constructor(
    private readonly bound: () => RetryBudgetBounds,
    /** Number of nodes that share the slack; infinite while it is unknown. */
    private readonly nodes: () => number,
  ) {}

  /** Counts a request for a service. It raises the number of allowed retries by less than one. */
  noteRequest(service: string, now: number): void {
    this.countsOf(service).requests.add(now);
  }

  /** Takes one retry from the budget. False if the budget is spent. */
  withdraw(service: string, now: number): boolean {
    if (this.remaining(service, now) < 1) {
      return false;
    }
    this.countsOf(service).retries.add(now);
    return true;
  }

  /** Number of retries left for a service in the window that ends now. */
  remaining(service: string, now: number): number {
    const { ratio, slack } = this.bound();
    const { requests, retries } = this.countsOf(service);
    const earned = ratio * USED_SHARE * requests.lowerBound(now);
    return this.ownSlack(slack) + earned - retries.upperBound(now);
  }

  /**
   * This node's part of the slack. A part below one retry is not rounded up, as many nodes together
   * would then exceed the bound. Requests must earn the missing fraction.
   */
  private ownSlack(slack: number): number {
    // The part does not grow while other nodes are away, as they may come back.
    const nodes = this.nodes();
    if (!Number.isFinite(nodes)) {
      return 0;
    }
    this.maxNodes = Math.max(this.maxNodes, nodes);
    const part = slack / Math.max(1, this.maxNodes);
    return Math.max(part * USED_SHARE, Math.min(1, part));
  }

  private countsOf(service: string): ServiceCounts {
    const existing = this.counts.get(service);
    if (existing) {
      return existing;
    }
    const { windowMs } = this.bound();
    const created = {
      requests: createSlidingWindowCounter(windowMs),
      retries: createSlidingWindowCounter(windowMs),
    };
    this.counts.set(service, created);
    return created;
  }
}
