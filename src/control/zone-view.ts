/** The zone as this node sees it: who is live, and the roles that follow from it. */

import { rankNames } from '../model/rendezvous.js';
import type { Member } from '../wire/messages.js';
import { type FanOutPlan, groupOf, planFanOut } from './fan-out.js';
import type { Membership } from './membership.js';

/** Members that exchange state with other zones and stand in for the coordinator. */
const BRIDGE_MEMBERS = 2;

/** Plans roles from the member list; the plan is made anew only when the list changes. */
export class ZoneView {
  private plan: FanOutPlan | undefined;
  private rankedReaders: readonly string[] | undefined;
  private readonly readers = new Set<string>();
  private readonly name: string;

  constructor(private readonly membership: Membership) {
    this.name = membership.local.name;
  }

  /** Called when the member list has changed. */
  invalidate(): void {
    this.plan = undefined;
    this.rankedReaders = undefined;
  }

  private readerRank(): readonly string[] {
    this.rankedReaders ??= rankNames('reader', [...this.current().ranked]);
    return this.rankedReaders;
  }

  /** The current plan. */
  current(): FanOutPlan {
    this.plan ??= planFanOut(this.membership.live().map((member) => member.name));
    return this.plan;
  }

  /** Names of the leaders of all groups. */
  leaders(): string[] {
    return [...this.current().leaders.values()];
  }

  /** This node's group number. */
  get group(): number {
    return groupOf(this.name, this.current().groups);
  }

  /** Names in this node's own group, itself included. */
  ownGroup(): readonly string[] {
    return this.current().members.get(this.group) ?? [];
  }

  /** The leader of this node's group. */
  ownLeader(): string | undefined {
    return this.current().leaders.get(this.group);
  }

  leadsOwnGroup(): boolean {
    return this.ownLeader() === this.name;
  }

  /** The member that folds the zone's in-force state. */
  coordinator(): string | undefined {
    return this.current().ranked[0];
  }

  /** Members that exchange state with other zones, best ranked first. */
  bridges(): Member[] {
    return this.members(this.current().ranked.slice(0, BRIDGE_MEMBERS));
  }

  isBridge(): boolean {
    return this.current().ranked.slice(0, BRIDGE_MEMBERS).includes(this.name);
  }

  /** Called with every heartbeat: remembers who reads the platform. */
  noteReading(name: string, reading: boolean): void {
    if (reading) {
      this.readers.add(name);
    } else {
      this.readers.delete(name);
    }
  }

  /** Members known to read the platform. */
  knownReaders(): string[] {
    return [...this.readers].filter((name) => this.membership.find(name));
  }

  /** Members that may read the platform: those known to, then the best ranked. */
  likelyReaders(candidates: number): Member[] {
    return this.others([...this.knownReaders(), ...this.readerRank().slice(0, candidates)]);
  }

  /** True when this node is among the best ranked candidates for reading the platform. */
  mayRead(candidates: number): boolean {
    return this.readerRank().slice(0, candidates).includes(this.name);
  }

  /** True when no other member of the zone is live. */
  alone(): boolean {
    return this.current().ranked.length <= 1;
  }

  /** Live members by name, without this node and without repetition. */
  others(names: readonly string[]): Member[] {
    return this.members([...new Set(names)].filter((name) => name !== this.name));
  }

  private members(names: readonly string[]): Member[] {
    return names.flatMap((name) => this.membership.find(name) ?? []);
  }
}
