/**
 * Notifies the parts of one exchange that its caller has left or its deadline
 * has passed. An AbortController would do the same, but creates an exception
 * with a stack for each request, which took 8 % of a node's busy time.
 */
export class Cancellation {
  private readonly listeners = new Set<() => void>();
  /** True once the exchange has been cancelled. */
  cancelled = false;

  /** Cancels the exchange. Later calls have no effect. */
  cancel(): void {
    if (!this.cancelled) {
      this.cancelled = true;
      for (const listener of [...this.listeners]) {
        listener();
      }
    }
  }

  /** Calls the listener when the exchange is cancelled. Returns a function that removes it. */
  onCancel(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
