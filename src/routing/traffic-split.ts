/** Divides a route's requests among services by weight (smooth weighted round robin). */

/** A new split skips fewer than this many requests of its sequence. */
const LONGEST_START = 100;

/** One part of a split. */
export interface SplitPart {
  readonly service: string;
  readonly weight: number;
}

/** Keeps every part's share within one request of its weight, over any run of requests. */
export class TrafficSplit {
  private readonly parts: readonly SplitPart[];
  private readonly credit: number[];
  private readonly total: number;
  private isStarted = false;

  constructor(
    parts: readonly SplitPart[],
    private readonly random: () => number = Math.random,
  ) {
    const weighted = parts.filter((part) => part.weight > 0);
    this.parts = weighted.length > 0 ? weighted : parts.slice(0, 1);
    this.total = this.parts.reduce((sum, part) => sum + part.weight, 0);
    this.credit = this.parts.map(() => 0);
  }

  /** The service of the next request. */
  next(): string {
    if (this.parts.length === 1) {
      return (this.parts[0] as SplitPart).service;
    }
    if (!this.isStarted) {
      this.start();
    }
    return this.step();
  }

  /** Nodes start at different places, so that the sum over all of them is even too. */
  private start(): void {
    this.isStarted = true;
    const skipped = Math.floor(this.random() * LONGEST_START);
    for (let count = 0; count < skipped; count += 1) {
      this.step();
    }
  }

  private step(): string {
    let best = 0;
    this.parts.forEach((part, index) => {
      this.credit[index] = (this.credit[index] as number) + part.weight;
      if ((this.credit[index] as number) > (this.credit[best] as number)) {
        best = index;
      }
    });
    this.credit[best] = (this.credit[best] as number) - this.total;
    return (this.parts[best] as SplitPart).service;
  }
}
