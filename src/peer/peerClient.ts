/**
 * Sends short requests to other nodes, each on a new connection: queries for their status, their
 * configuration, the owners they know and the recent requests of tenants there, and
 * announcements.
 */

import net from 'node:net';
import { endpointOf } from '../model/endpoint.js';
import { createPeerConnection, type SentObserver } from './peerConnection.js';
import {
  type AnnouncementTopic,
  MessageKind,
  type PeerMessage,
  PeerQuery,
  type PeerReport,
  type PeerSender,
  type QueryResultMessage,
} from './peerMessages.js';

/** An announcement as sent to one node. */
export interface Announcement {
  readonly topic: AnnouncementTopic;
  /** Any value that CBOR can encode. */
  readonly content: unknown;
  /** True if the receiver has to forward the announcement to the nodes of its zone. */
  readonly shouldForward: boolean;
}

/** Sends requests to other nodes; opens a connection for each request. */
export class PeerClient {
  constructor(
    private readonly sender: () => PeerSender,
    private readonly report: () => PeerReport,
    private readonly onSent?: SentObserver,
  ) {}

  /** Exchanges status reports with another node. Undefined if it does not answer in time. */
  async status(address: string, timeoutMs: number): Promise<PeerReport | undefined> {
    const result = await this.query(address, PeerQuery.Status, timeoutMs);
    return result?.report;
  }

  /** Fetches the configuration of another node. Undefined if it has none or does not answer. */
  async configuration(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const result = await this.query(address, PeerQuery.Configuration, timeoutMs);
    return result?.bytes;
  }

  /** Fetches the owners that another node knows. Undefined if it has no list or does not answer. */
  async directory(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const result = await this.query(address, PeerQuery.Directory, timeoutMs);
    return result?.bytes;
  }

  /** Fetches the recent requests of tenants at another node. Undefined if it does not answer. */
  async tenantUse(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const result = await this.query(address, PeerQuery.TenantUse, timeoutMs);
    return result?.bytes;
  }

  /** Sends an announcement; false if the node does not acknowledge it in time. */
  async sendAnnouncement(
    address: string,
    announcement: Announcement,
    timeoutMs: number,
  ): Promise<boolean> {
    const message = { kind: MessageKind.News, sender: this.sender(), ...announcement } as const;
    const reply = await this.exchange(address, message, timeoutMs);
    return reply?.kind === MessageKind.Pong;
  }

  private async query(
    address: string,
    question: PeerQuery,
    timeoutMs: number,
  ): Promise<QueryResultMessage | undefined> {
    const message = {
      kind: MessageKind.Ask,
      question,
      sender: this.sender(),
      report: this.report(),
    } as const;
    const reply = await this.exchange(address, message, timeoutMs);
    return reply?.kind === MessageKind.Told ? reply : undefined;
  }

  /** Sends one message on a new connection. Undefined if no reply arrives in time. */
  private exchange(
    address: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    return new Promise((resolve) => {
      const connection = createPeerConnection(net.connect(endpointOf(address)), {
        onSent: this.onSent,
      });
      const timer = setTimeout(() => connection.destroy(), timeoutMs);
      connection.setListener({
        onMessage: (reply) => {
          resolve(reply);
          connection.destroy();
        },
        onClose: () => {
          clearTimeout(timer);
          resolve(undefined);
        },
      });
      connection.send(message);
    });
  }
}
