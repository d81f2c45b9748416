/**
 * The endpoint table: the platform's machine list as this node holds it. Each
 * entry carries the platform's own version and the higher one wins, so updates
 * may arrive twice, late or crossed. The table has its own version stream,
 * since endpoints churn constantly and configuration does not.
 */

import { hash32 } from '../model/rendezvous.js';
import { addressOf, type EndpointSource, type EndpointView } from '../platform/endpoint-source.js';
import type { MachineSpec } from '../platform/object-types.js';
import type { DrainHint, EndpointDelta, EndpointEntry } from '../wire/messages.js';

/** How long the removal of an entry is remembered, in milliseconds. */
const TOMBSTONE_LIFETIME_MS = 600_000;

/** How long an endpoint's own word that it is leaving is believed, in milliseconds. */
const DRAIN_HINT_LIFETIME_MS = 600_000;

/** Owns the entries and the drain hints. */
export class EndpointTable implements EndpointSource {
  private readonly entries = new Map<string, EndpointEntry>();
  private readonly removedAt = new Map<string, number>();
  private readonly drains = new Map<string, { hint: DrainHint; heardAt: number }>();
  private cachedHash: number | undefined;
  private cachedNodes: { generation: number; views: readonly EndpointView[] } | undefined;
  /** Highest version of any entry held. */
  version = 0;
  /** Rises with every visible change, for callers that cache views. */
  generation = 0;

  /** Hash of the live entries; two tables with one version and two hashes differ. */
  get hash(): number {
    this.cachedHash ??= this.computeHash();
    return this.cachedHash;
  }

  /** Takes entries that are newer than those held. Returns true when anything changed. */
  merge(entries: readonly EndpointEntry[]): boolean {
    let changed = false;
    for (const entry of entries) {
      const held = this.entries.get(entry.name);
      if (held && held.version >= entry.version) {
        continue;
      }
      this.put(entry);
      changed = true;
    }
    if (changed) {
      this.touch();
    }
    return changed;
  }

  /** Takes a full table: live entries that it lacks and that are older than it are removed. */
  replace(entries: readonly EndpointEntry[], version: number): boolean {
    const present = new Set(entries.map((entry) => entry.name));
    const removed: EndpointEntry[] = [];
    for (const held of this.entries.values()) {
      if (held.machine && !present.has(held.name) && held.version < version) {
        removed.push({ name: held.name, version, machine: null });
      }
    }
    return this.merge([...entries, ...removed]);
  }

  /**
   * Takes a delta of a peer. A full table also removes what it lacks, but only
   * where this one is older: at the same version neither knows that it is complete.
   */
  apply(delta: EndpointDelta): boolean {
    const isOlder = this.version < delta.version;
    const changed =
      delta.full && isOlder
        ? this.replace(delta.entries, delta.version)
        : this.merge(delta.entries);
    this.version = Math.max(this.version, delta.version);
    return changed;
  }

  /** What a peer at version `after` lacks. */
  deltaAfter(after: number): EndpointDelta {
    const full = after === 0;
    const entries = [...this.entries.values()].filter((entry) =>
      full ? entry.machine !== null : entry.version > after,
    );
    return { after, version: this.version, full, entries };
  }

  /** Notes that an endpoint itself said it is leaving. Returns true when that is new. */
  addDrain(hint: DrainHint): boolean {
    if (this.drains.get(hint.endpoint)?.hint.address === hint.address) {
      return false;
    }
    this.drains.set(hint.endpoint, { hint, heardAt: Date.now() });
    this.generation += 1;
    return true;
  }

  /** Drain hints that are still believed. */
  drainHints(): DrainHint[] {
    return [...this.drains.values()].map((drain) => drain.hint);
  }

  /** Live back ends of a service. */
  backends(service: string): EndpointView[] {
    return this.live((machine) => machine.role === 'backend' && machine.service === service);
  }

  /** Live nodes of this system, as the platform lists them. */
  nodes(): readonly EndpointView[] {
    if (this.cachedNodes?.generation !== this.generation) {
      const views = this.live((machine) => machine.role === 'node');
      this.cachedNodes = { generation: this.generation, views };
    }
    return this.cachedNodes.views;
  }

  /** Drops what has been remembered long enough. */
  expire(now: number): void {
    for (const [name, removedAt] of this.removedAt) {
      if (now - removedAt > TOMBSTONE_LIFETIME_MS) {
        this.removedAt.delete(name);
        this.entries.delete(name);
      }
    }
    for (const [name, drain] of this.drains) {
      if (now - drain.heardAt > DRAIN_HINT_LIFETIME_MS) {
        this.drains.delete(name);
        this.generation += 1;
      }
    }
  }

  private live(wanted: (machine: MachineSpec) => boolean): EndpointView[] {
    const views: EndpointView[] = [];
    for (const { name, machine } of this.entries.values()) {
      if (machine && wanted(machine)) {
        const hinted = this.drains.get(name)?.hint.address === addressOf(machine);
        views.push({ name, machine, leaving: hinted || machine.state === 'leaving' });
      }
    }
    return views;
  }

  private put(entry: EndpointEntry): void {
    this.entries.set(entry.name, entry);
    this.version = Math.max(this.version, entry.version);
    if (entry.machine) {
      this.removedAt.delete(entry.name);
    } else {
      this.removedAt.set(entry.name, Date.now());
    }
  }

  private touch(): void {
    this.cachedHash = undefined;
    this.generation += 1;
  }

  private computeHash(): number {
    let hash = 0;
    for (const entry of this.entries.values()) {
      if (entry.machine) {
        hash ^= hash32(`${entry.name}:${entry.version}`);
      }
    }
    return hash >>> 0;
  }
}
