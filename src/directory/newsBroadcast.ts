/**
 * Tells news to all nodes, from node to node and without the store: to each node of the own zone, and in
 * each other zone to two that tell theirs. News is not repeated when a node does not take it: whoever
 * needs certainty tells it again, or keeps it in the store as well.
 */
import { rankNames } from '../model/rendezvous.js';
import type { Announcement, PeerClient } from '../peer/peerClient.js';
import type { AnnouncementMessage, AnnouncementTopic } from '../peer/peerMessages.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** A call that tells another node takes no longer, in milliseconds; it is not repeated. */
const TELL_TIMEOUT_MS = 500;

/**
 * Nodes of each other zone that are told and tell their zone: two, so that one may be away. News so
 * costs its node as many calls as its zone has nodes and two for each other zone, and two nodes of
 * each other zone as many as theirs: 256 and 250 among 1,000 nodes in four zones, of 200 bytes each.
 */
const TOLD_IN_OTHER_ZONES = 2;

/** What is needed of the node. */
export interface NewsBroadcastContext {
  readonly directory: OwnerDirectory;
  readonly caller: PeerClient;
  readonly own: () => OwnerRecord;
}

/** Takes news of a topic: its content, as it came, and the address of the node that told it here. */
export type NewsListener = (content: unknown, from: string) => void;

export interface NewsBroadcast {
  /** Something was found out here; `content` is a value of CBOR. */
  tell(topic: AnnouncementTopic, content: unknown): void;
  /** Another node has told something. */
  take(message: AnnouncementMessage): void;
  /** Who takes the news of a topic: one listener each. */
  listen(topic: AnnouncementTopic, listener: NewsListener): void;
}

export function createNewsBroadcast({
  directory,
  caller,
  own,
}: NewsBroadcastContext): NewsBroadcast {
  const listeners = new Map<AnnouncementTopic, NewsListener>();

  const othersIn = (isWanted: (entry: OwnerEntry) => boolean): OwnerEntry[] =>
    directory.all().filter((entry) => !entry.isLocal && isWanted(entry));

  const send = (entries: readonly OwnerEntry[], news: Announcement): void => {
    for (const { record } of entries) {
      void caller.sendAnnouncement(record.address, news, TELL_TIMEOUT_MS);
    }
  };

  const tellZone = (topic: AnnouncementTopic, content: unknown): void =>
    send(
      othersIn((entry) => directory.isNear(entry)),
      { topic, content, shouldForward: false },
    );

  const tellOtherZones = (topic: AnnouncementTopic, content: unknown): void => {
    const far = othersIn((entry) => !directory.isNear(entry) && entry.absence !== 'silent');
    for (const zone of new Set(far.map(({ record }) => record.zone))) {
      const nodes = far.filter(({ record }) => record.zone === zone);
      const ranked = rankNames(
        own().node,
        nodes.map(({ record }) => record.node),
      ).slice(0, TOLD_IN_OTHER_ZONES);
      send(
        nodes.filter(({ record }) => ranked.includes(record.node)),
        { topic, content, shouldForward: true },
      );
    }
  };

  return {
    tell: (topic, content) => {
      tellZone(topic, content);
      tellOtherZones(topic, content);
    },
    take: ({ topic, content, shouldForward, sender }) => {
      listeners.get(topic)?.(content, sender.address);
      if (shouldForward) {
        tellZone(topic, content);
      }
    },
    listen: (topic, listener) => {
      listeners.set(topic, listener);
    },
  };
}
