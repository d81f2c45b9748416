/** Remembers names, the latest so many of them. */
export interface RecentNames {
  add(name: string): void;
  has(name: string): boolean;
  delete(name: string): void;
}

export function createRecentNames(most: number): RecentNames {
  /** The oldest first. */
  const names = new Set<string>();
  return {
    add: (name) => {
      names.delete(name);
      names.add(name);
      const [oldest] = names;
      if (names.size > most && oldest !== undefined) {
        names.delete(oldest);
      }
    },
    has: (name) => names.has(name),
    delete: (name) => {
      names.delete(name);
    },
  };
}
