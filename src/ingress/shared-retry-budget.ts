/**
 * This node's part of a budget that all nodes share: in every window, repeats
 * may add a share of the requests, and a slack. Each node spends only from the
 * requests that it has seen itself and from its part of the slack, so that the
 * sum over all nodes stays inside the bound without a coordinator.
 */

/** The bound that all nodes keep together. */
export interface BudgetBound {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats that are free in each window. */
  readonly slack: number;
}

/** Part of the bound that is used: repeats that this node cannot see need room too. */
const USED_SHARE = 0.5;

interface ServiceBudget {
  tokens: number;
  refilledAt: number;
}

/** One per node. */
export class SharedRetryBudget {
  private readonly budgets = new Map<string, ServiceBudget>();

  constructor(
    private readonly bound: () => BudgetBound,
    /** Nodes that share the slack. */
    private readonly nodes: () => number,
  ) {}

  /** Takes note of a request for a service: it earns its share of a repeat. */
  noteRequest(service: string, now: number): void {
    const budget = this.refill(service, now);
    budget.tokens = Math.min(budget.tokens + this.bound().ratio * USED_SHARE, this.ceiling());
  }

  /** Takes one repeat; false when the budget is spent. */
  withdraw(service: string, now: number): boolean {
    const budget = this.refill(service, now);
    if (budget.tokens < 1) {
      return false;
    }
    budget.tokens -= 1;
    return true;
  }

  /** Repeats that are left for a service. */
  left(service: string): number {
    return this.budgets.get(service)?.tokens ?? this.ceiling();
  }

  private refill(service: string, now: number): ServiceBudget {
    const known = this.budgets.get(service) ?? { tokens: this.ceiling(), refilledAt: now };
    this.budgets.set(service, known);
    // A bucket of this size empties and refills within one window at the most.
    const earned = ((now - known.refilledAt) / this.bound().windowMs) * (this.ceiling() / 2);
    known.tokens = Math.min(known.tokens + earned, this.ceiling());
    known.refilledAt = now;
    return known;
  }

  private ceiling(): number {
    return Math.max(1, (this.bound().slack * USED_SHARE) / Math.max(1, this.nodes()));
  }
}
