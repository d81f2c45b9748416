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
const SEND_TIMEOUT_MS = 500;

/**
 * Nodes of each other zone that are told and tell their zone: two, so that one may be away. News so
 * costs its node as many calls as its zone has nodes and two for each other zone, and two nodes of
 * each other zone as many as theirs: 256 and 250 among 1,000 nodes in four zones, of 200 bytes each.
 */
const RELAYS_PER_OTHER_ZONE = 2;

/** What is needed of the node. */
export interface AnnouncementBroadcastContext {
  readonly directory: OwnerDirectory;
  readonly caller: PeerClient;
  readonly own: () => OwnerRecord;
}

/** Takes news of a topic: its content, as it came, and the address of the node that told it here. */
export type AnnouncementListener = (content: unknown, from: string) => void;

export interface AnnouncementBroadcast {
  /** Something was found out here; `content` is a value of CBOR. */
  publish(topic: AnnouncementTopic, content: unknown): void;
  /** Another node has told something. */
  receive(message: AnnouncementMessage): void;
  /** Who takes the news of a topic: one listener each. */
  subscribe(topic: AnnouncementTopic, listener: AnnouncementListener): void;
}

export function createAnnouncementBroadcast({
  directory,
  caller,
  own,
}: AnnouncementBroadcastContext): AnnouncementBroadcast {
  const listeners = new Map<AnnouncementTopic, AnnouncementListener>();

  const othersIn = (isWanted: (entry: OwnerEntry) => boolean): OwnerEntry[] =>
    directory.all().filter((entry) => !entry.isLocal && isWanted(entry));

  const send = (entries: readonly OwnerEntry[], news: Announcement): void => {
    for (const { record } of entries) {
      void caller.sendAnnouncement(record.address, news, SEND_TIMEOUT_MS);
    }
  };

  const tellZone = (topic: AnnouncementTopic, content: unknown): void =>
    send(
      othersIn((entry) => directory.isInOwnZone(entry)),
      { topic, content, shouldForward: false },
    );

  const tellOtherZones = (topic: AnnouncementTopic, content: unknown): void => {
    const far = othersIn(
      (entry) => !directory.isInOwnZone(entry) && entry.absenceReason !== 'silent',
    );
    for (const zone of new Set(far.map(({ record }) => record.zone))) {
      const nodes = far.filter(({ record }) => record.zone === zone);
      const ranked = rankNames(
        own().node,
        nodes.map(({ record }) => record.node),
      ).slice(0, RELAYS_PER_OTHER_ZONE);
      send(
        nodes.filter(({ record }) => ranked.includes(record.node)),
        { topic, content, shouldForward: true },
      );
    }
  };

  return {
    publish: (topic, content) => {
      tellZone(topic, content);
      tellOtherZones(topic, content);
    },
    receive: ({ topic, content, shouldForward, sender }) => {
      listeners.get(topic)?.(content, sender.address);
      if (shouldForward) {
        tellZone(topic, content);
      }
    },
    subscribe: (topic, listener) => {
      listeners.set(topic, listener);
    },
  };
}
