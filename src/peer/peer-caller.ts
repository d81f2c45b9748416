/** Short calls to other nodes: their status, their configuration and the owners they know. */
import http from 'node:http';
import { collectBody } from '../owner/message-body.js';
import {
  CALL_FIELD,
  decodeReport,
  encodeReport,
  encodeSender,
  type PeerCall,
  type PeerReport,
  type PeerSender,
  REPORT_FIELD,
  SENDER_FIELD,
} from './peer-protocol.js';

/** Largest configuration or directory that is taken from another node, in bytes. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Calls other nodes on connections of their own. */
export class PeerCaller {
  constructor(
    private readonly sender: () => PeerSender,
    private readonly report: () => PeerReport,
  ) {}

  /** Tells another node one's own status and asks for its; undefined when it does not answer. */
  async status(address: string, timeoutMs: number): Promise<PeerReport | undefined> {
    const response = await this.call(address, 'status', timeoutMs);
    response?.resume();
    const text = response?.headers[REPORT_FIELD];
    return typeof text === 'string' ? decodeReport(text) : undefined;
  }

  /** Asks for the configuration that another node holds. */
  configuration(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    return this.bytes(address, 'configuration', timeoutMs);
  }

  /** Asks for the owners that another node knows. */
  directory(address: string, timeoutMs: number): Promise<Buffer | undefined> {
    return this.bytes(address, 'directory', timeoutMs);
  }

  private async bytes(
    address: string,
    call: PeerCall,
    timeoutMs: number,
  ): Promise<Buffer | undefined> {
    const response = await this.call(address, call, timeoutMs);
    if (response?.statusCode !== 200) {
      response?.resume();
      return undefined;
    }
    const body = await collectBody(response, MAX_ANSWER_BYTES).catch(() => undefined);
    return body?.kind === 'bytes' ? body.bytes : undefined;
  }

  private call(
    address: string,
    call: PeerCall,
    timeoutMs: number,
  ): Promise<http.IncomingMessage | undefined> {
    return new Promise((resolve) => {
      const separator = address.lastIndexOf(':');
      const request = http.get({
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        path: '/',
        agent: false,
        headers: {
          [CALL_FIELD]: call,
          [SENDER_FIELD]: encodeSender(this.sender()),
          [REPORT_FIELD]: encodeReport(this.report()),
        },
      });
      const timer = setTimeout(() => request.destroy(new Error('timed out')), timeoutMs);
      request.on('close', () => clearTimeout(timer));
      request.on('error', () => resolve(undefined));
      request.on('response', (response) => {
        response.on('error', () => {});
        resolve(response);
      });
    });
  }
}
