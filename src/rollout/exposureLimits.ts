/** The limits that the leader sets for the owners of the target version. They only rise. */
import type { EvidenceReport } from './rolloutMessages.js';

/** The limit of requests for one count of one owner. */
export interface OwnerLimit {
  readonly node: string;
  readonly countId: string;
  readonly limit: number;
}

/** Requests that the owners of the version may receive now. */
export interface Allowance {
  /** Requests that all of them may receive in addition to those received. */
  readonly additional: number;
  /** Largest part of these for a single owner: others may report later. */
  readonly additionalPerOwner: number;
  /** Upper bound of the sum of all limits ever granted. */
  readonly budget: number;
}

export interface ExposureLimits {
  /** A report of an owner with the target version. */
  addReport(report: EvidenceReport): void;
  /** Requests that the version has received, by the reports so far. */
  readonly taken: number;
  /** Raises the limits of these owners within the allowance. */
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
  /** By node and count. A limit granted to a count that has ended stays counted as used. */
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
      // Limits granted by another leader count as well.
      account.limit = Math.max(account.limit, limit);
      accounts.set(key, account);
      present.set(node, account);
    },
    get taken() {
      return sumOf([...accounts.values()], ({ taken }) => taken);
    },
    raiseLimits: (nodes, { additional, additionalPerOwner, budget }) => {
      const owners = presentOf(nodes);
      const granted = sumOf([...accounts.values()], ({ taken, limit }) => Math.max(taken, limit));
      const open = sumOf(owners, ({ taken, limit }) => Math.max(0, limit - taken));
      distribute(
        Math.floor(Math.min(additional - open, budget - granted)),
        additionalPerOwner,
        owners,
      );
    },
    limitsOf: (nodes) =>
      presentOf(nodes).map(({ node, countId, limit }) => ({ node, countId, limit })),
  };
}

/** Grants requests one by one, each to the account with the fewest left. */
function distribute(amount: number, most: number, accounts: readonly Account[]): void {
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
