/** The owners on record at this node, by service, and the selection among them. */
import { isDeepStrictEqual } from 'node:util';
import { rankNames } from '../model/rendezvous.js';
import type { CallRate } from '../owner/callRates.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/**
 * An owner's expected time is raised by a random share of up to this, so that nodes do not all
 * choose the same owner.
 */
const SCORE_JITTER = 0.15;

/**
 * Factor on the expected time of the owner on the same machine, which saves one hop. A hop takes
 * about half of the processor time of a request, so the local owner is preferred even at some
 * waiting time, unless it is much busier than the others.
 */
const LOCAL_FACTOR = 0.5;

/** Assumed service time, in milliseconds, when no owner has reported one. */
const DEFAULT_SERVICE_MS = 20;

/** Lifetime of the cached typical service time, in milliseconds. */
const TYPICAL_LIFETIME_MS = 200;

const BITS_PER_BYTE = 8;

/** Bits that a link of 1 Mbit/s carries in a millisecond. */
const BITS_PER_MS = 1_000;

/** Criteria by which an owner is chosen. */
export interface OwnerCriteria {
  readonly service: string;
  readonly priority: number;
  /** True if an owner of the own zone is preferred to one elsewhere whose back end fails less. */
  readonly prefersOwnZone: boolean;
  /** Size of the request's body; left out if the transfer time does not matter. */
  readonly bodyBytes?: number;
  /** True if owners of other zones come first, since several of the own zone were full. */
  readonly prefersOtherZones?: boolean;
  /** Whether placement policies allow an owner; left out if there are none. */
  readonly mayServe?: ((record: OwnerRecord) => boolean) | undefined;
}

export type EntryFactory = (record: OwnerRecord) => OwnerEntry;

/** Owned by the node. Every `now` is a steady time in milliseconds. */
export class OwnerDirectory {
  /** Rises with each owner that is added, changed or removed. */
  generation = 0;
  private readonly entries = new Map<string, OwnerEntry>();
  private readonly byService = new Map<string, OwnerEntry[]>();
  private readonly byAddress = new Map<string, OwnerEntry>();
  private readonly typicalCache = new Map<
    string,
    { readonly ms: number; readonly until: number }
  >();

  constructor(
    private readonly zone: string,
    private readonly createEntry: EntryFactory,
    private readonly random: () => number = Math.random,
    /** Capacity of this node's link in megabits per second; undefined if not configured. */
    private readonly linkMbps?: number,
  ) {}

  all(): readonly OwnerEntry[] {
    return [...this.entries.values()];
  }

  /** Number of owners. */
  get size(): number {
    return this.entries.size;
  }

  /** The entry of the node that listens on an address. */
  findByAddress(address: string): OwnerEntry | undefined {
    return this.byAddress.get(address);
  }

  /** Adds an owner, or replaces its entry if the record has changed. */
  put(record: OwnerRecord): void {
    const existing = this.entries.get(record.node);
    if (existing && isSame(existing.record, record)) {
      return;
    }
    // Two nodes cannot share an address, so the older record is out of date.
    const addressHolder = this.byAddress.get(record.address);
    for (const old of new Set([existing, addressHolder])) {
      if (old) {
        this.removeFromIndexes(old);
      }
    }
    const entry = this.createEntry(record);
    this.generation += 1;
    this.entries.set(record.node, entry);
    this.byAddress.set(record.address, entry);
    this.byService.set(record.service, [...this.ownersOf(record.service), entry]);
  }

  /** Removes an owner; false if there was no entry of it. */
  remove(node: string): boolean {
    const entry = this.entries.get(node);
    if (entry) {
      entry.close();
      this.removeFromIndexes(entry);
    }
    return entry !== undefined;
  }

  /** Owners of a service, whether available or not. */
  ownersOf(service: string): readonly OwnerEntry[] {
    return this.byService.get(service) ?? [];
  }

  /** Number of owners of each service, whether available or not. */
  nodesByService(): ReadonlyMap<string, number> {
    return new Map([...this.byService].map(([service, owners]) => [service, owners.length]));
  }

  /** Calls that a run of a service makes, as a mean over the owners that know theirs. */
  callRatesOf(service: string): readonly CallRate[] | undefined {
    const known = this.ownersOf(service).flatMap(({ callRates }) => (callRates ? [callRates] : []));
    if (known.length === 0) {
      return undefined;
    }
    const sums = new Map<string, number>();
    for (const { service: called, perRun } of known.flat()) {
      sums.set(called, (sums.get(called) ?? 0) + perRun);
    }
    return [...sums].map(([called, sum]) => ({ service: called, perRun: sum / known.length }));
  }

  /** The best available owner for a task, except those in `tried`; undefined if there is none. */
  choose(
    criteria: OwnerCriteria,
    tried: ReadonlySet<OwnerEntry>,
    now: number,
  ): OwnerEntry | undefined {
    const typicalMs = this.typicalMs(criteria.service, now);
    let best: OwnerEntry | undefined;
    let bestGroup = Number.POSITIVE_INFINITY;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const entry of this.ownersOf(criteria.service)) {
      if (tried.has(entry) || !entry.isAvailable(criteria.priority, now)) {
        continue;
      }
      if (criteria.mayServe && !criteria.mayServe(entry.record)) {
        continue;
      }
      const group = this.groupOf(entry, criteria, now);
      if (group > bestGroup) {
        continue;
      }
      const jitter = 1 + this.random() * SCORE_JITTER;
      const factor = entry.isLocal ? LOCAL_FACTOR : 1;
      const expectedMs = entry.expectedMs(now, typicalMs) * jitter * factor;
      const score = expectedMs + this.transferMs(entry, criteria.bodyBytes ?? 0);
      if (group < bestGroup || score < bestScore) {
        best = entry;
        bestGroup = group;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * The owner that has a role in a service. Nodes with the same list of owners select the same one
   * without communication.
   */
  ownerForRole(
    { service, mayServe = () => true }: Pick<OwnerCriteria, 'service' | 'mayServe'>,
    role: string,
  ): OwnerEntry | undefined {
    const present = this.ownersOf(service).filter(
      (entry) => !entry.absenceReason && mayServe(entry.record),
    );
    const [first] = rankNames(
      role,
      present.map(({ record }) => record.node),
    );
    return present.find(({ record }) => record.node === first);
  }

  /**
   * Preference group by limit, zone and failures of the back end; the lowest group is chosen first.
   */
  private groupOf(entry: OwnerEntry, criteria: OwnerCriteria, now: number): number {
    const zoneRank = this.isInOwnZone(entry) === (criteria.prefersOtherZones ?? false) ? 1 : 0;
    const failureRank = entry.isFailing(now) ? 1 : 0;
    const limitRank = entry.isLimitReached(now) ? 1 : 0;
    const rank = criteria.prefersOwnZone ? 2 * zoneRank + failureRank : 2 * failureRank + zoneRank;
    return 4 * limitRank + rank;
  }

  /** Milliseconds that a body occupies the links of this node and of an owner. */
  private transferMs(entry: OwnerEntry, bodyBytes: number): number {
    if (entry.isLocal) {
      return 0;
    }
    const links = [this.linkMbps, entry.record.linkMbps].filter((mbps) => mbps !== undefined);
    return links.reduce((sum, mbps) => sum + (bodyBytes * BITS_PER_BYTE) / (mbps * BITS_PER_MS), 0);
  }

  /** Median service time of a service's owners, in milliseconds; cached. */
  private typicalMs(service: string, now: number): number {
    const existing = this.typicalCache.get(service);
    if (existing && now < existing.until) {
      return existing.ms;
    }
    const ms = median(this.ownersOf(service).flatMap((entry) => entry.meanServiceMs ?? []));
    this.typicalCache.set(service, { ms, until: now + TYPICAL_LIFETIME_MS });
    return ms;
  }

  isInOwnZone(entry: Pick<OwnerEntry, 'record'>): boolean {
    return entry.record.zone === this.zone;
  }

  /** True while an owner in this node's zone that may serve the task is up, busy or not. */
  hasOwnerInOwnZone({
    service,
    mayServe = () => true,
  }: Pick<OwnerCriteria, 'service' | 'mayServe'>): boolean {
    return this.ownersOf(service).some(
      (entry) => this.isInOwnZone(entry) && !entry.absenceReason && mayServe(entry.record),
    );
  }

  /**
   * Shortest remaining backoff of a service's owners, in milliseconds, except absent ones; infinity
   * if all are absent.
   */
  backoffMs(service: string, now: number): number {
    const backoffs = this.ownersOf(service)
      .filter((entry) => !entry.absenceReason)
      .map((entry) => entry.backoffMs(now));
    return backoffs.length > 0 ? Math.min(...backoffs) : Number.POSITIVE_INFINITY;
  }

  /** True if the limits of the back ends keep requests from each owner that is up. */
  areLimited(service: string, now: number): boolean {
    const present = this.ownersOf(service).filter((entry) => !entry.absenceReason);
    return present.length > 0 && present.every((entry) => entry.hasLimitBackoff(now));
  }

  private removeFromIndexes(entry: OwnerEntry): void {
    const { node, address, service } = entry.record;
    this.generation += 1;
    this.entries.delete(node);
    if (this.byAddress.get(address) === entry) {
      this.byAddress.delete(address);
    }
    this.byService.set(
      service,
      this.ownersOf(service).filter((other) => other !== entry),
    );
  }
}

/** The lower median, so that a few slow owners do not raise the typical value. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? DEFAULT_SERVICE_MS;
}

function isSame(left: OwnerRecord, right: OwnerRecord): boolean {
  return isDeepStrictEqual({ ...left, node: '' }, { ...right, node: '' });
}
