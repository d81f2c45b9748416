/** Short calls to other nodes: their status, their configuration and the owners they know. */
import net from 'node:net';
import { createPeerConnection, type SentObserver } from './peerConnection.js';
import {
  MessageKind,
  PeerQuestion,
  type PeerReport,
  type PeerSender,
  type ToldMessage,
} from './peerMessages.js';

/** Calls other nodes on connections of their own. */
export class PeerCaller {
  constructor(
    private readonly sender: () => PeerSender,
    private readonly report: () => PeerReport,
    private readonly onSent?: SentObserver,
  ) {}

  /** Tells another node one's own status and asks for its; undefined when it does not answer. */
  async status(address: string, timeoutMs: number): Promise<PeerReport | undefined> {
    const told = await this.ask(address, PeerQuestion.Status, timeoutMs);
    return told?.report;
  }

  /** Asks for the configuration that another node holds. */
  async configuration(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const told = await this.ask(address, PeerQuestion.Configuration, timeoutMs);
    return told?.bytes;
  }

  /** Asks for the owners that another node knows. */
  async directory(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    const told = await this.ask(address, PeerQuestion.Directory, timeoutMs);
    return told?.bytes;
  }

  private ask(
    address: string,
    question: PeerQuestion,
    timeoutMs: number,
  ): Promise<ToldMessage | undefined> {
    return new Promise((resolve) => {
      const separator = address.lastIndexOf(':');
      const connection = createPeerConnection(
        net.connect({
          host: address.slice(0, separator),
          port: Number(address.slice(separator + 1)),
        }),
        { onSent: this.onSent },
      );
      const timer = setTimeout(() => connection.destroy(), timeoutMs);
      connection.listen({
        onMessage: (message) => {
          resolve(message.kind === MessageKind.Told ? message : undefined);
          connection.destroy();
        },
        onClose: () => {
          clearTimeout(timer);
          resolve(undefined);
        },
      });
      connection.send({
        kind: MessageKind.Ask,
        question,
        sender: this.sender(),
        report: this.report(),
      });
    });
  }
}
