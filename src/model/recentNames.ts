/** A set that keeps only the most recently added names. */
export interface RecentNames {
  add(name: string): void;
  has(name: string): boolean;
  delete(name: string): void;
}

/** `maxNames` is the largest number of names; adding more drops the oldest. */
export function createRecentNames(maxNames: number): RecentNames {
  /** In the order in which they were added, oldest first. */
  const names = new Set<string>();
  return {
    add: (name) => {
      names.delete(name);
      names.add(name);
      const [oldest] = names;
      if (names.size > maxNames && oldest !== undefined) {
        names.delete(oldest);
      }
    },
    has: (name) => names.has(name),
    delete: (name) => {
      names.delete(name);
    },
  };
}
