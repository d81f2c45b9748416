/** The rate limit that the back end names in its answers. */

export interface BackEndLimit {
  /** Requests per second that the back end accepts. Undefined if it names no limit. */
  readonly perSecond: number | undefined;
  /** Records the limit that the newest answer names. True if it has changed. */
  note(perSecond: number | undefined): boolean;
  /** Discards the limit. Called for a new incarnation, which has named none yet. */
  reset(): void;
}

export function createBackEndLimit(): BackEndLimit {
  let limit: number | undefined;
  return {
    get perSecond() {
      return limit;
    },
    note: (perSecond) => {
      const hasChanged = perSecond !== limit;
      limit = perSecond;
      return hasChanged;
    },
    reset: () => {
      limit = undefined;
    },
  };
}
