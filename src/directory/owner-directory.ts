/** The owners that this node knows, by service, and the choice among them. */
import { isDeepStrictEqual } from 'node:util';
import { rankNames } from '../model/rendezvous.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** An owner's score varies by this share, so that nodes do not all choose the same one. */
const SCORE_JITTER = 0.15;

/**
 * The owner on the same machine costs one hop less: its score counts this much. A hop
 * is about half of the processor time of a request, so the local owner is worth some
 * waiting as long as it is not much busier than the others.
 */
const LOCAL_FACTOR = 0.5;

/** Assumed service time, in milliseconds, when no owner has reported one. */
const DEFAULT_SERVICE_MS = 20;

/** The typical service time is worked out again after this time, in milliseconds. */
const TYPICAL_LIFETIME_MS = 200;

const BITS_PER_BYTE = 8;

/** Bits that a link of 1 Mbit/s carries in a millisecond. */
const BITS_PER_MS = 1_000;

/** What is asked of an owner. */
export interface OwnerCriteria {
  readonly service: string;
  readonly priority: number;
  /** True if an owner of the own zone is better than one elsewhere whose back end fails less. */
  readonly prefersOwnZone: boolean;
  /** Size of the request's body, if it is worth considering. */
  readonly bodyBytes?: number;
  /** True if owners elsewhere are asked first: several of the own zone have had no room. */
  readonly prefersOtherZones?: boolean;
  /** What placement policies say of an owner; left out where there are none. */
  readonly mayServe?: ((record: OwnerRecord) => boolean) | undefined;
}

/** Creates the entry of an owner. */
export type EntryFactory = (record: OwnerRecord) => OwnerEntry;

/** Owned by the node; takes the time as an argument. */
export class OwnerDirectory {
  /** Rises with each owner that comes, changes or goes. */
  generation = 0;
  private readonly entries = new Map<string, OwnerEntry>();
  private readonly byService = new Map<string, OwnerEntry[]>();
  private readonly byAddress = new Map<string, OwnerEntry>();
  private readonly typical = new Map<string, { readonly ms: number; readonly until: number }>();

  constructor(
    private readonly zone: string,
    private readonly createEntry: EntryFactory,
    private readonly random: () => number = Math.random,
    /** Megabits a second of this node's link; undefined when it is not known. */
    private readonly linkMbps?: number,
  ) {}

  /** Every known owner. */
  all(): readonly OwnerEntry[] {
    return [...this.entries.values()];
  }

  /** Number of known owners. */
  get size(): number {
    return this.entries.size;
  }

  /** The entry whose node listens at an address. */
  findByAddress(address: string): OwnerEntry | undefined {
    return this.byAddress.get(address);
  }

  /** Adds an owner or replaces what was known of it, if that has changed. */
  put(record: OwnerRecord): void {
    const known = this.entries.get(record.node);
    if (known && isSame(known.record, record)) {
      return;
    }
    // Two nodes cannot share an address: the older record is out of date.
    const outdated = this.byAddress.get(record.address);
    for (const old of new Set([known, outdated])) {
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

  /** Forgets an owner; false if it was not known. */
  remove(node: string): boolean {
    const entry = this.entries.get(node);
    if (entry) {
      entry.close();
      this.removeFromIndexes(entry);
    }
    return entry !== undefined;
  }

  /** Owners of a service, whether or not they can be asked. */
  ownersOf(service: string): readonly OwnerEntry[] {
    return this.byService.get(service) ?? [];
  }

  /** The best owner for a task, or undefined when none is left. */
  choose(wish: OwnerCriteria, tried: ReadonlySet<OwnerEntry>, now: number): OwnerEntry | undefined {
    const typicalMs = this.typicalMs(wish.service, now);
    let best: OwnerEntry | undefined;
    let bestGroup = Number.POSITIVE_INFINITY;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const entry of this.ownersOf(wish.service)) {
      if (tried.has(entry) || !entry.isAvailable(wish.priority, now)) {
        continue;
      }
      if (wish.mayServe && !wish.mayServe(entry.record)) {
        continue;
      }
      const group = this.groupOf(entry, wish, now);
      if (group > bestGroup) {
        continue;
      }
      const jitter = 1 + this.random() * SCORE_JITTER;
      const factor = entry.isLocal ? LOCAL_FACTOR : 1;
      const expectedMs = entry.expectedMs(now, typicalMs) * jitter * factor;
      const score = expectedMs + this.transferMs(entry, wish.bodyBytes ?? 0);
      if (group < bestGroup || score < bestScore) {
        best = entry;
        bestGroup = group;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * The owner that has a role in a service: nodes that know the same owners name the same one, without
   * asking one another.
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

  /** Owners of a lower group are asked first: near ones, and those whose back ends do not fail. */
  private groupOf(entry: OwnerEntry, wish: OwnerCriteria, now: number): number {
    const away = this.isInOwnZone(entry) === (wish.prefersOtherZones ?? false) ? 1 : 0;
    const failing = entry.isFailing(now) ? 1 : 0;
    return wish.prefersOwnZone ? 2 * away + failing : 2 * failing + away;
  }

  /** Milliseconds for which a body takes up the links between this node and an owner. */
  private transferMs(entry: OwnerEntry, bodyBytes: number): number {
    if (entry.isLocal) {
      return 0;
    }
    const links = [this.linkMbps, entry.record.linkMbps].filter((mbps) => mbps !== undefined);
    return links.reduce((sum, mbps) => sum + (bodyBytes * BITS_PER_BYTE) / (mbps * BITS_PER_MS), 0);
  }

  /** Service time of a typical owner of a service, in milliseconds; worked out now and then. */
  private typicalMs(service: string, now: number): number {
    const known = this.typical.get(service);
    if (known && now < known.until) {
      return known.ms;
    }
    const ms = median(this.ownersOf(service).flatMap((entry) => entry.meanServiceMs ?? []));
    this.typical.set(service, { ms, until: now + TYPICAL_LIFETIME_MS });
    return ms;
  }

  /** True for an owner in this node's zone. */
  isInOwnZone(entry: Pick<OwnerEntry, 'record'>): boolean {
    return entry.record.zone === this.zone;
  }

  /** True while some owner in this node's zone that may serve is up, busy or not. */
  hasOwnerInOwnZone({
    service,
    mayServe = () => true,
  }: Pick<OwnerCriteria, 'service' | 'mayServe'>): boolean {
    return this.ownersOf(service).some(
      (entry) => this.isInOwnZone(entry) && !entry.absenceReason && mayServe(entry.record),
    );
  }

  /** Milliseconds until some owner of a service may take a task again. */
  backoffMs(service: string, now: number): number {
    const rests = this.ownersOf(service)
      .filter((entry) => !entry.absenceReason)
      .map((entry) => entry.backoffMs(now));
    return rests.length > 0 ? Math.min(...rests) : Number.POSITIVE_INFINITY;
  }

  /** Takes an entry out of every index. */
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

/** The lower median, so that a few slow owners do not count as typical. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? DEFAULT_SERVICE_MS;
}

function isSame(left: OwnerRecord, right: OwnerRecord): boolean {
  return isDeepStrictEqual({ ...left, node: '' }, { ...right, node: '' });
}
