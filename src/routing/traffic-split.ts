/** Divides a route's requests among services by weight (smooth weighted round robin). */

/** A new split starts at a random place, fewer than this many requests into its sequence. */
const MAX_SKIPPED = 100;

/** One part of a split. */
export interface SplitPart {
  readonly service: string;
  readonly weight: number;
}

/**
 * Chooses the service of each request. Over any consecutive requests, the number that a part gets
 * stays close to its share by weight. With two parts, it differs by at most one.
 */
export class TrafficSplit {
  private readonly parts: readonly SplitPart[];
  private readonly currentWeights: number[];
  private readonly total: number;
  private hasSkipped = false;

  constructor(
    parts: readonly SplitPart[],
    private readonly random: () => number = Math.random,
  ) {
    const weighted = parts.filter((part) => part.weight > 0);
    this.parts = weighted.length > 0 ? weighted : parts.slice(0, 1);
    this.total = this.parts.reduce((sum, part) => sum + part.weight, 0);
    this.currentWeights = this.parts.map(() => 0);
  }

  /** Returns the service of the next request. */
  next(): string {
    if (this.parts.length === 1) {
      return (this.parts[0] as SplitPart).service;
    }
    if (!this.hasSkipped) {
      this.skipToRandomPlace();
    }
    return this.chooseNext();
  }

  /** Skips part of the sequence, so that nodes differ and the sum over all of them is even too. */
  private skipToRandomPlace(): void {
    this.hasSkipped = true;
    const skipped = Math.floor(this.random() * MAX_SKIPPED);
    for (let count = 0; count < skipped; count += 1) {
      this.chooseNext();
    }
  }

  private chooseNext(): string {
    let chosen = 0;
    this.parts.forEach((part, index) => {
      this.currentWeights[index] = (this.currentWeights[index] as number) + part.weight;
      if ((this.currentWeights[index] as number) > (this.currentWeights[chosen] as number)) {
        chosen = index;
      }
    });
    this.currentWeights[chosen] = (this.currentWeights[chosen] as number) - this.total;
    return (this.parts[chosen] as SplitPart).service;
  }
}
