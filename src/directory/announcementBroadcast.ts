/**
 * Sends announcements to all nodes, from node to node and without the store: to each node of the
 * own zone, and to two nodes of each other zone, which forward it to theirs. A failed send is not
 * retried: a publisher that needs certainty publishes again, or writes to the store as well.
 */
import { rankNames } from '../model/rendezvous.js';
import type { Announcement, PeerClient } from '../peer/peerClient.js';
import type { AnnouncementMessage, AnnouncementTopic } from '../peer/peerMessages.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** Timeout in milliseconds of sending an announcement to another node; there is no retry. */
const SEND_TIMEOUT_MS = 500;

/**
 * Nodes of each other zone that receive an announcement and forward it to their zone: two, so that
 * one may be down. The publisher makes as many calls as its zone has nodes and two for each other
 * zone; a forwarding node makes as many as its own zone has nodes. Among 1,000 nodes in four zones
 * that is 256 and 250 calls, of 200 bytes each.
 */
const RELAYS_PER_OTHER_ZONE = 2;

/** Dependencies on the rest of the node. */
export interface AnnouncementBroadcastContext {
  readonly directory: OwnerDirectory;
  readonly caller: PeerClient;
  readonly own: () => OwnerRecord;
}

/** Receives a topic's content as it arrived, unchecked, and the address of the sending node. */
export type AnnouncementListener = (content: unknown, from: string) => void;

export interface AnnouncementBroadcast {
  /** Sends an announcement of this node to all others; `content` is a CBOR value. */
  publish(topic: AnnouncementTopic, content: unknown): void;
  /** Handles an announcement that another node has sent to this one. */
  receive(message: AnnouncementMessage): void;
  /** Sets the listener of a topic; a topic has only one. */
  subscribe(topic: AnnouncementTopic, listener: AnnouncementListener): void;
}

export function createAnnouncementBroadcast({
  directory,
  caller,
  own,
}: AnnouncementBroadcastContext): AnnouncementBroadcast {
  const listeners = new Map<AnnouncementTopic, AnnouncementListener>();

  const otherNodes = (predicate: (entry: OwnerEntry) => boolean): OwnerEntry[] =>
    directory.all().filter((entry) => !entry.isLocal && predicate(entry));

  const send = (entries: readonly OwnerEntry[], announcement: Announcement): void => {
    for (const { record } of entries) {
      void caller.sendAnnouncement(record.address, announcement, SEND_TIMEOUT_MS);
    }
  };

  const sendToOwnZone = (topic: AnnouncementTopic, content: unknown): void =>
    send(
      otherNodes((entry) => directory.isInOwnZone(entry)),
      { topic, content, shouldForward: false },
    );

  const sendToOtherZones = (topic: AnnouncementTopic, content: unknown): void => {
    const remoteEntries = otherNodes(
      (entry) => !directory.isInOwnZone(entry) && entry.absenceReason !== 'silent',
    );
    for (const zone of new Set(remoteEntries.map(({ record }) => record.zone))) {
      const nodes = remoteEntries.filter(({ record }) => record.zone === zone);
      const relays = rankNames(
        own().node,
        nodes.map(({ record }) => record.node),
      ).slice(0, RELAYS_PER_OTHER_ZONE);
      send(
        nodes.filter(({ record }) => relays.includes(record.node)),
        { topic, content, shouldForward: true },
      );
    }
  };

  return {
    publish: (topic, content) => {
      sendToOwnZone(topic, content);
      sendToOtherZones(topic, content);
    },
    receive: ({ topic, content, shouldForward, sender }) => {
      listeners.get(topic)?.(content, sender.address);
      if (shouldForward) {
        sendToOwnZone(topic, content);
      }
    },
    subscribe: (topic, listener) => {
      listeners.set(topic, listener);
    },
  };
}
