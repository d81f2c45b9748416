/**
 * This node's part of a budget that all nodes share: in every window, repeats
 * may add a share of the requests, and a slack. Each node spends only from the
 * requests that it has seen itself and from its part of the slack, so that the
 * sum over all nodes stays inside the bound without a coordinator. What a window
 * allows may be spent at any moment of it, so that a short fault can use it whole.
 */

import {
  createSlidingWindowCounter,
  type SlidingWindowCounter,
} from '../model/slidingWindowCounter.js';

/** The bound that all nodes keep together. */
export interface RetryBudgetBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats that are free in each window. */
  readonly slack: number;
}

/** Part of the bound that is used: repeats that this node cannot see need room too. */
const USED_SHARE = 0.5;

interface ServiceCounts {
  readonly requests: SlidingWindowCounter;
  readonly repeats: SlidingWindowCounter;
}

/** One per node. */
export class SharedRetryBudget {
  private readonly counts = new Map<string, ServiceCounts>();
  /** Most nodes that were ever known at once. */
  private mostNodes = 1;

  constructor(
    private readonly bound: () => RetryBudgetBounds,
    /** Nodes that share the slack; infinite while they are not known. */
    private readonly nodes: () => number,
  ) {}

  /** Takes note of a request for a service: it earns its share of a repeat. */
  noteRequest(service: string, now: number): void {
    this.countsOf(service).requests.add(now);
  }

  /** Takes one repeat; false when the budget is spent. */
  withdraw(service: string, now: number): boolean {
    if (this.remaining(service, now) < 1) {
      return false;
    }
    this.countsOf(service).repeats.add(now);
    return true;
  }

  /** Repeats that are left for a service in the window that ends now. */
  remaining(service: string, now: number): number {
    const { ratio, slack } = this.bound();
    const { requests, repeats } = this.countsOf(service);
    const earned = ratio * USED_SHARE * requests.lowerBound(now);
    return this.slackHere(slack) + earned - repeats.upperBound(now);
  }

  /**
   * This node's part of the slack. A part below one whole repeat is made up by what is earned: were
   * it rounded up, many nodes together would go beyond the bound.
   */
  private slackHere(slack: number): number {
    // Nodes may come back: the part does not grow when the others are away.
    const nodes = this.nodes();
    if (!Number.isFinite(nodes)) {
      return 0;
    }
    this.mostNodes = Math.max(this.mostNodes, nodes);
    const part = slack / Math.max(1, this.mostNodes);
    return Math.max(part * USED_SHARE, Math.min(1, part));
  }

  private countsOf(service: string): ServiceCounts {
    const known = this.counts.get(service);
    if (known) {
      return known;
    }
    const { windowMs } = this.bound();
    const created = {
      requests: createSlidingWindowCounter(windowMs),
      repeats: createSlidingWindowCounter(windowMs),
    };
    this.counts.set(service, created);
    return created;
  }
}
