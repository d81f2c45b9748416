/**
 * Start of a node without disk: finds out how far this node can have been
 * before, so that no proxy goes back (brief, "What must always hold").
 *
 * - A read of the platform's head that starts after the node did covers all that
 *   was ever accepted, and so all that this node can have held.
 * - With the platform out, every other member of the zone and the coordinator of
 *   every other zone must answer. Nothing comes into force on a node before
 *   another node has staged it, so the highest head among all covers what this
 *   node had in force.
 *
 * Until one of the two has succeeded the node refuses requests as not run.
 */

import { rankNames } from '../model/rendezvous.js';
import { Backoff } from '../platform/backoff.js';
import type { Member, PeerCalls } from '../wire/messages.js';
import type { PeerClient } from '../wire/peer-client.js';
import type { Bridge, Seed } from './bridge.js';
import type { ConfigurationReplica } from './configuration-replica.js';
import type { Post } from './control-event.js';
import type { Distributor } from './distributor.js';
import type { Membership } from './membership.js';
import type { PlatformReader } from './platform-reader.js';
import type { Timing } from './timing.js';
import type { ZoneView } from './zone-view.js';

/** Members asked in turn to poll the zone. */
const POLLERS_ASKED = 2;

const INITIAL_DELAY_MS = 50;
const MAXIMUM_DELAY_MS = 1_000;

/** Runs once, from the start until the node has caught up. */
export class Boot {
  private stopped = false;
  private readonly startedAt = Date.now();
  private readonly backoff = new Backoff({
    initialMs: INITIAL_DELAY_MS,
    maximumMs: MAXIMUM_DELAY_MS,
  });

  constructor(
    private readonly client: PeerClient,
    private readonly membership: Membership,
    private readonly zone: ZoneView,
    private readonly replica: ConfigurationReplica,
    private readonly distributor: Distributor,
    private readonly reader: PlatformReader,
    private readonly bridge: Bridge,
    private readonly seeds: readonly Seed[],
    private readonly timing: Timing,
    /** Called with the time since which a confirmed head is known to have been the newest. */
    private readonly onConfirmed: (at: number) => void,
    private readonly post: Post,
  ) {}

  /** Resolves when the node has caught up, or when it is stopped. */
  async run(): Promise<void> {
    await this.until(() => this.join());
    if (!this.stopped) {
      this.reader.start();
    }
    await this.until(() => this.findRequiredHead());
    await this.until(() => this.catchUp());
    await this.learnEndpoints();
  }

  stop(): void {
    this.stopped = true;
  }

  /** Answers `confirmHead`: by this node's own read, or by passing it on to a reader. */
  async onConfirmHead(
    request: PeerCalls['confirmHead']['request'],
  ): Promise<PeerCalls['confirmHead']['response']> {
    const head = await this.readOrForward(request.mayForward);
    if (head === undefined) {
      throw new Error('the platform could not be read');
    }
    return { head };
  }

  private async readOrForward(mayForward: boolean): Promise<number | undefined> {
    if (this.reader.reading) {
      return this.reader.confirmHead();
    }
    return mayForward ? this.askReaders() : undefined;
  }

  private async until(attempt: () => Promise<boolean>): Promise<void> {
    while (!this.stopped && !(await attempt())) {
      await new Promise((resolve) => setTimeout(resolve, this.backoff.next()));
    }
    this.backoff.reset();
  }

  /** Learns the zone's members from its seeds. A zone of one has nobody to ask. */
  private async join(): Promise<boolean> {
    const { local } = this.membership;
    const answers = await Promise.all(
      this.zoneSeeds().map((seed) => this.call(seed.address, 'join', { member: local })),
    );
    for (const answer of answers) {
      answer.ifRight(({ members, readers }) => {
        this.membership.mergeList(members);
        for (const name of readers) {
          this.zone.noteReading(name, true);
        }
      });
    }
    // With every seed down this node may be the first of its zone: others will join it.
    return true;
  }

  /** Seeds of this node's own zone, without itself. */
  private zoneSeeds(): Seed[] {
    const { zone, address } = this.membership.local;
    return this.seeds.filter((seed) => seed.zone === zone && seed.address !== address);
  }

  private async findRequiredHead(): Promise<boolean> {
    const askedAt = Date.now();
    const confirmed = await this.confirmedHead();
    if (confirmed !== undefined) {
      this.onConfirmed(askedAt);
    }
    const head = confirmed ?? (await this.headWithoutPlatform());
    if (head === undefined) {
      await this.join();
      return false;
    }
    this.replica.require(head);
    return true;
  }

  private async confirmedHead(): Promise<number | undefined> {
    return (await this.readOrForward(true)) ?? (await this.askOtherZones());
  }

  /** Asks the members that may read the platform, the likeliest first. */
  private async askReaders(): Promise<number | undefined> {
    for (const member of this.zone.likelyReaders(this.timing.readersPerZone + 1)) {
      const answer = await this.call(member.address, 'confirmHead', { mayForward: false });
      if (answer.isRight()) {
        return answer.map((response) => response.head).orDefault(0);
      }
    }
    return undefined;
  }

  private async askOtherZones(): Promise<number | undefined> {
    for (const address of this.bridge.otherZones().flatMap((zone) => this.bridge.contacts(zone))) {
      const answer = await this.call(address, 'confirmHead', { mayForward: true });
      if (answer.isRight()) {
        return answer.map((response) => response.head).orDefault(0);
      }
    }
    return undefined;
  }

  /** The rule for a platform that is out; undefined unless all who may know have answered. */
  private async headWithoutPlatform(): Promise<number | undefined> {
    if (Date.now() - this.startedAt < this.timing.suspicionMs) {
      // A witness in another zone needs this long to be heard of by its coordinator.
      return undefined;
    }
    const heads = await Promise.all([
      this.headOfOwnZone(),
      ...this.bridge.otherZones().map((zone) => this.headOfZone(zone)),
    ]);
    const known = heads.filter((head) => head !== undefined);
    if (known.length < heads.length) {
      this.post({ type: 'boot-blocked' });
      return undefined;
    }
    return Math.max(...known);
  }

  private async headOfZone(zone: string): Promise<number | undefined> {
    for (const address of this.bridge.contacts(zone)) {
      const answer = await this.call(address, 'zoneSummary', { forwarded: false });
      const summary = answer.toMaybe().extractNullable()?.summary;
      if (summary) {
        return Math.max(summary.head, ...summary.versions.map((entry) => entry.version));
      }
    }
    return undefined;
  }

  /** Asks a member that has not restarted itself to poll all others. */
  private async headOfOwnZone(): Promise<number | undefined> {
    const { local } = this.membership;
    const others = this.membership.live().filter((member) => member.name !== local.name);
    if (others.length === 0 && this.zoneSeeds().length + this.membership.unreachable().length > 0) {
      // The others may be up but out of reach.
      return undefined;
    }
    const names = others.map((member) => member.name);
    for (const name of rankNames('coordinator', names).slice(0, POLLERS_ASKED)) {
      const address = this.membership.find(name)?.address ?? '';
      const answer = await this.call(address, 'zoneHead', { requester: local.name });
      if (answer.isRight()) {
        return answer.map((response) => response.head).orDefault(0);
      }
    }
    return others.length === 0 ? 0 : undefined;
  }

  private async catchUp(): Promise<boolean> {
    if (this.replica.caughtUp) {
      return true;
    }
    const peer = this.randomPeer();
    if (peer) {
      await this.distributor.pullRecords(peer.address, 'repair');
      await this.distributor.pullSecrets(peer.address);
    }
    await this.pullFromOtherZones();
    return this.replica.caughtUp;
  }

  /** A node that serves without endpoints would refuse what its peers can serve. */
  private async learnEndpoints(): Promise<void> {
    const peer = this.randomPeer();
    if (peer) {
      await this.distributor.pullEndpoints(peer.address, 0, 'repair');
    }
  }

  private randomPeer(): Member | undefined {
    const { local } = this.membership;
    const others = this.membership.live().filter((member) => member.name !== local.name);
    return others[Math.floor(Math.random() * others.length)];
  }

  /** The head may have been confirmed through another zone that is ahead of this one. */
  private async pullFromOtherZones(): Promise<void> {
    for (const zone of this.bridge.otherZones()) {
      const [address] = this.bridge.contacts(zone);
      if (this.replica.caughtUp || address === undefined) {
        return;
      }
      await this.distributor.pullRecords(address, 'outside');
      await this.distributor.pullSecrets(address);
    }
  }

  private call<Call extends keyof PeerCalls>(
    address: string,
    name: Call,
    body: PeerCalls[Call]['request'],
  ) {
    return this.client.call(address, name, body, this.timing.peerTimeoutMs).run();
  }
}
