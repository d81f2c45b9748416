/** Short calls to other nodes: their status, their configuration, the owners they know, news. */

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

/** News as one node is told it. */
export interface Announcement {
  readonly topic: AnnouncementTopic;
  /** A value of CBOR. */
  readonly content: unknown;
  /** True if the receiver is to pass it on to the nodes of its zone. */
  readonly shouldForward: boolean;
}

/** Calls other nodes on connections of their own. */
export class PeerClient {
  constructor(
    private readonly sender: () => PeerSender,
    private readonly report: () => PeerReport,
    private readonly onSent?: SentObserver,
  ) {}

  /** Tells another node one's own status and asks for its; undefined when it does not answer. */
  async status(address: string, timeoutMs: number): Promise<PeerReport | undefined> {
    const told = await this.ask(address, PeerQuery.Status, timeoutMs);
    return told?.report;
  }

  /** Asks for the configuration that another node holds. */
  async configuration(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const told = await this.ask(address, PeerQuery.Configuration, timeoutMs);
    return told?.bytes;
  }

  /** Asks for the owners that another node knows. */
  async directory(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const told = await this.ask(address, PeerQuery.Directory, timeoutMs);
    return told?.bytes;
  }

  /** Asks for what tenants have used at another node of late. */
  async tenantUse(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const told = await this.ask(address, PeerQuery.TenantUse, timeoutMs);
    return told?.bytes;
  }

  /** Tells news; false when nobody took it. */
  async sendAnnouncement(address: string, news: Announcement, timeoutMs: number): Promise<boolean> {
    const message = { kind: MessageKind.News, sender: this.sender(), ...news } as const;
    const reply = await this.exchange(address, message, timeoutMs);
    return reply?.kind === MessageKind.Pong;
  }

  private async ask(
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

  /** One message and its reply on a connection of their own. */
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
