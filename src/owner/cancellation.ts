/**
 * Tells the parts of one exchange that its caller has gone or its deadline has
 * passed. An AbortController would do the same, but creates an exception with a
 * stack for each request; this was 8 % of a node's busy time.
 */
export class Cancellation {
  private readonly listeners = new Set<() => void>();
  /** True once the exchange has been cancelled. */
  cancelled = false;

  /** Cancels once; later calls do nothing. */
  cancel(): void {
    if (!this.cancelled) {
      this.cancelled = true;
      for (const listener of [...this.listeners]) {
        listener();
      }
    }
  }

  /** Calls the listener when the exchange is cancelled; returns how to take it back. */
  onCancel(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
