/**
 * What one node believes of the members of its zone. Statements may come late,
 * twice or crossed: a higher incarnation wins, then the worse state.
 */

import { hash32 } from '../model/rendezvous.js';
import type { Member } from '../wire/messages.js';

/** A dead member that the platform goes on listing is forgotten after this time, in ms. */
const FORGET_AFTER_MS = 3_600_000;

interface Entry {
  readonly member: Member;
  /** When the state was taken on, in milliseconds of the local clock. */
  readonly since: number;
}

/** Owns the entries; the node itself is one of them. */
export class MemberList {
  private readonly entries = new Map<string, Entry>();
  private hash = 0;
  /** Counts changes of who is live, and where. */
  liveChanges = 0;

  /** Number of entries, whatever their state. */
  get size(): number {
    return this.entries.size;
  }

  /** Hash over the live members; two lists with different hashes differ. */
  get liveHash(): number {
    return this.hash >>> 0;
  }

  has(name: string): boolean {
    return this.entries.has(name);
  }

  get(name: string): Member | undefined {
    return this.entries.get(name)?.member;
  }

  /** Every entry. */
  all(): Member[] {
    return [...this.entries.values()].map((entry) => entry.member);
  }

  /** Entries in one of the given states. */
  inStates(...states: Member['state'][]): Member[] {
    return this.all().filter((member) => states.includes(member.state));
  }

  /** Takes a statement. Returns true when it changed what is believed. */
  apply(member: Member): boolean {
    const held = this.get(member.name);
    if (held ? !overrides(member, held) : member.state === 'left') {
      return false;
    }
    this.put(member);
    return true;
  }

  /** Puts an entry whatever is believed; for the node itself. */
  put(member: Member): void {
    const held = this.get(member.name);
    const wasLive = held !== undefined && isLive(held);
    if (wasLive !== isLive(member) || held?.address !== member.address) {
      this.liveChanges += 1;
    }
    this.hash ^= (held ? hashOf(held) : 0) ^ hashOf(member);
    this.entries.set(member.name, { member, since: Date.now() });
  }

  /** Suspects that have been so for longer than the given time, in milliseconds. */
  suspectsOlderThan(limitMs: number): Member[] {
    const now = Date.now();
    return [...this.entries.values()]
      .filter(({ member, since }) => member.state === 'suspect' && now - since > limitMs)
      .map((entry) => entry.member);
  }

  /**
   * Forgets members that are not live for longer than `graceMs` and that the
   * platform does not list; an empty list says nothing. Returns true when any was.
   */
  forgetUnlisted(listed: ReadonlySet<string>, graceMs: number): boolean {
    const now = Date.now();
    let forgotten = false;
    for (const [name, { member, since }] of this.entries) {
      const age = now - since;
      const isGone = !isLive(member) && age > graceMs;
      const isUnlisted = listed.size > 0 && !listed.has(name);
      if (isGone && (isUnlisted || age > FORGET_AFTER_MS)) {
        this.entries.delete(name);
        forgotten = true;
      }
    }
    return forgotten;
  }
}

/** True for members that may be given work. */
export function isLive(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}

const STATE_ORDER: Readonly<Record<Member['state'], number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** A higher incarnation wins; at the same one, the worse state (SWIM, section 4.2). */
export function overrides(statement: Member, held: Member): boolean {
  if (statement.incarnation !== held.incarnation) {
    return statement.incarnation > held.incarnation;
  }
  return STATE_ORDER[statement.state] > STATE_ORDER[held.state];
}

/** A member's part of the hash; a suspicion is passing and does not count as a difference. */
function hashOf(member: Member): number {
  return isLive(member) ? hash32(`${member.name}:${member.incarnation}`) : 0;
}
