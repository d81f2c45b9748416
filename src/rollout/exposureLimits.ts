/** The decider's account of what the target version may get: the limits of its owners, which only rise. */
import type { EvidenceReport } from './rolloutMessages.js';

/** One owner's count that may take so many requests. */
export interface OwnerLimit {
  readonly node: string;
  readonly countId: string;
  readonly limit: number;
}

/** What the owners of a version may take now. */
export interface Allowance {
  /** Requests that they may take besides what they have taken. */
  readonly additional: number;
  /** The most of these for any one of them: the others may come later. */
  readonly additionalPerOwner: number;
  /** What all limits that were ever given stay within. */
  readonly budget: number;
}

export interface ExposureLimits {
  /** A report of an owner with the target version. */
  addReport(report: EvidenceReport): void;
  /** Requests that the version has got, as far as told. */
  readonly taken: number;
  /** Raises the limits of these owners. */
  raiseLimits(nodes: ReadonlySet<string>, allowance: Allowance): void;
  /** The present limits of these owners. */
  limitsOf(nodes: ReadonlySet<string>): readonly OwnerLimit[];
}

interface Account {
  readonly node: string;
  readonly countId: string;
  taken: number;
  limit: number;
}

export function createExposureLimits(): ExposureLimits {
  /** By node and count: what was given to a count that has ended is spent. */
  const accounts = new Map<string, Account>();
  /** The present count of each node. */
  const present = new Map<string, Account>();

  const presentOf = (nodes: ReadonlySet<string>): Account[] =>
    [...nodes].flatMap((node) => present.get(node) ?? []);

  return {
    addReport: ({ node, countId, taken, limit }) => {
      const key = `${node} ${countId}`;
      const account = accounts.get(key) ?? { node, countId, taken: 0, limit: 0 };
      account.taken = Math.max(account.taken, taken);
      // What another decider has given counts as well.
      account.limit = Math.max(account.limit, limit);
      accounts.set(key, account);
      present.set(node, account);
    },
    get taken() {
      return sumOf([...accounts.values()], ({ taken }) => taken);
    },
    raiseLimits: (nodes, { additional, additionalPerOwner, budget }) => {
      const owners = presentOf(nodes);
      const given = sumOf([...accounts.values()], ({ taken, limit }) => Math.max(taken, limit));
      const open = sumOf(owners, ({ taken, limit }) => Math.max(0, limit - taken));
      share(Math.floor(Math.min(additional - open, budget - given)), additionalPerOwner, owners);
    },
    limitsOf: (nodes) =>
      presentOf(nodes).map(({ node, countId, limit }) => ({ node, countId, limit })),
  };
}

/** Gives requests one by one to the account that has the fewest left. */
function share(amount: number, most: number, accounts: readonly Account[]): void {
  const leftOf = ({ taken, limit }: Account) => limit - taken;
  for (let left = amount; left > 0 && accounts.length > 0; left -= 1) {
    const least = accounts.reduce((one, other) => (leftOf(other) < leftOf(one) ? other : one));
    if (leftOf(least) + 1 > most) {
      return;
    }
    least.limit += 1;
  }
}

function sumOf(accounts: readonly Account[], amountOf: (account: Account) => number): number {
  return accounts.reduce((sum, account) => sum + amountOf(account), 0);
}
