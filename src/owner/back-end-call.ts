/**
 * Sends one task to the back end and verifies the answer: it must echo the
 * request's id, be complete, have no content encoding and, if its status is
 * 2xx, carry the back end's signature. Without such an answer, the outcome says
 * whether the task certainly has not run.
 */

import http from 'node:http';
import type { Socket } from 'node:net';
import { endpointOf } from '../model/endpoint.js';
import type { BackEnd } from '../registry/back-end-registry.js';
import { type BackEndNotice, readBackEndNotice } from './backEndNotice.js';
import type { HeaderNames } from './header-names.js';
import { collectBody, type MessageBody, sendBody } from './message-body.js';
import { NoticeSource } from './noticeHandler.js';
import type { OwnerOutcome, OwnerTask, UnknownReason } from './owner.js';
import { endToEndFields } from './raw-headers.js';

/** An answer up to this size, in bytes, is read completely before any of it is passed on. */
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/** A back end on the same machine accepts a connection within this time, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Status by which a back end guarantees that it did not run the request (421 Misdirected Request).
 */
const MISDIRECTED = 421;

/** The transfer coding that the HTTP parser decodes (RFC 9112, section 7.1). */
const CHUNKED = 'chunked';

/** Methods whose requests are always framed as having a body, even an empty one. */
const BODY_METHODS = new Set(['POST', 'PUT', 'PATCH']);

/** What a call to the back end needs besides the task and its body. */
export interface BackEndCallOptions {
  readonly backEnd: BackEnd;
  readonly names: HeaderNames;
  readonly agent: http.Agent;
  /** Milliseconds until the task's deadline. */
  readonly remainingMs: number;
  /**
   * Called as soon as the head of an answer has been read, unless the answer is invalid, is one to
   * another request, or comes from another back end.
   */
  readonly onNotice: (notice: BackEndNotice, source: NoticeSource) => void;
}

/** How a call ended. */
export interface BackEndCallResult {
  readonly outcome: OwnerOutcome;
  /** True if the back end's address refuses connections or does not accept one in time. */
  readonly unreachable: boolean;
  /** True if the task was cancelled on a reused connection before any response arrived. */
  readonly wasReusedConnectionSilent?: boolean;
}

/** Sends the task. Resolves once and never rejects. */
export function callBackEnd(
  task: OwnerTask,
  body: MessageBody,
  options: BackEndCallOptions,
): Promise<BackEndCallResult> {
  return new BackEndCall(task, body, options).run();
}

class BackEndCall {
  /** True from the moment at which the first byte may be sent to the back end. */
  private sent = false;
  private settled = false;
  /** Undefined before the head of an answer has been read. */
  private response: http.IncomingMessage | undefined;
  private request: http.ClientRequest | undefined;
  private removeCancelListener: () => void = () => {};
  private resolve: (result: BackEndCallResult) => void = () => {};

  constructor(
    private readonly task: OwnerTask,
    private readonly body: MessageBody,
    private readonly options: BackEndCallOptions,
  ) {}

  run(): Promise<BackEndCallResult> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      if (this.task.cancellation.cancelled) {
        this.notRun('cancelled', false);
        return;
      }
      const request = this.open();
      this.request = request;
      request.on('socket', (socket) => this.onSocket(request, socket));
      request.on('response', (response) => void this.onResponse(request, response));
      request.on('error', (error) => this.onError(error));
      this.removeCancelListener = this.task.cancellation.onCancel(() => {
        request.destroy();
        if (this.sent) {
          const wasReusedConnectionSilent = request.reusedSocket && !this.response;
          const outcome = { kind: 'unknown', reason: 'cancelled' } as const;
          this.settle({ outcome, unreachable: false, wasReusedConnectionSilent });
        } else {
          this.notRun('cancelled', false);
        }
      });
    });
  }

  private open(): http.ClientRequest {
    const { backEnd, names, agent, remainingMs } = this.options;
    const headers = [
      ...this.task.headers,
      names.deadline,
      String(Math.max(1, Math.floor(remainingMs))),
      names.expectInstance,
      backEnd.instance,
      names.callerService,
      this.task.callerService,
      ...(this.task.tenant === undefined ? [] : [names.tenant, this.task.tenant]),
      ...this.framing(),
    ];
    return http.request({
      ...endpointOf(backEnd.address),
      method: this.task.method,
      path: this.task.target,
      headers: headers as unknown as http.OutgoingHttpHeaders,
      agent,
    });
  }

  private framing(): string[] {
    if (this.body.kind === 'stream') {
      return ['Transfer-Encoding', 'chunked', 'Connection', 'keep-alive'];
    }
    const { length } = this.body.bytes;
    const isFramed = this.task.hasBody || length > 0 || BODY_METHODS.has(this.task.method);
    return [...(isFramed ? ['Content-Length', String(length)] : []), 'Connection', 'keep-alive'];
  }

  /** Nothing is written before the connection is open, so a failed connect proves "not run". */
  private onSocket(request: http.ClientRequest, socket: Socket): void {
    if (!socket.connecting) {
      this.write(request);
      return;
    }
    const timer = setTimeout(
      () => request.destroy(new Error('connect timeout')),
      CONNECT_TIMEOUT_MS,
    );
    socket.once('connect', () => {
      clearTimeout(timer);
      if (!request.destroyed) {
        this.write(request);
      }
    });
    socket.once('close', () => clearTimeout(timer));
  }

  private write(request: http.ClientRequest): void {
    this.sent = true;
    sendBody(this.body, request).catch(() => request.destroy());
  }

  private async onResponse(
    request: http.ClientRequest,
    response: http.IncomingMessage,
  ): Promise<void> {
    const { names } = this.options;
    const { headers } = response;
    this.response = response;
    if (headers[names.requestId.toLowerCase()] !== this.task.requestId) {
      request.destroy();
      this.unknown('foreign-answer');
      return;
    }
    const isOtherInstance = response.statusCode === MISDIRECTED;
    if (isOtherInstance || headers[names.notRun.toLowerCase()] !== undefined) {
      if (!isOtherInstance) {
        this.noteNotice(response, NoticeSource.Rejection);
      }
      response.resume();
      response.on('error', () => {});
      this.closeIfUnfinished(request);
      this.notRun(isOtherInstance ? 'other-instance' : 'rejected-by-back-end', true);
      return;
    }
    if (this.isInvalidAnswer(response)) {
      request.destroy();
      this.unknown('spoilt-answer');
      return;
    }
    this.noteNotice(response, NoticeSource.Answer);
    await this.readAnswer(request, response);
  }

  private noteNotice({ headers }: http.IncomingMessage, source: NoticeSource): void {
    this.options.onNotice(readBackEndNotice(headers, this.options.names), source);
  }

  private isInvalidAnswer(response: http.IncomingMessage): boolean {
    const status = response.statusCode ?? 0;
    const isSuccess = status >= 200 && status < 300;
    const { headers } = response;
    const isSigned = headers[this.options.names.signature.toLowerCase()] !== undefined;
    const transferCoding = headers['transfer-encoding']?.toLowerCase() ?? CHUNKED;
    const isCoded = headers['content-encoding'] !== undefined || transferCoding !== CHUNKED;
    return isCoded || (isSuccess && !isSigned);
  }

  private async readAnswer(
    request: http.ClientRequest,
    response: http.IncomingMessage,
  ): Promise<void> {
    destroyOnReset(response);
    const body = await collectBody(response, MAX_BUFFERED_ANSWER_BYTES).catch(() => undefined);
    this.closeIfUnfinished(request);
    if (body === undefined) {
      this.unknown(this.task.cancellation.cancelled ? 'cancelled' : 'spoilt-answer');
      return;
    }
    this.settle({
      outcome: {
        kind: 'answer',
        status: response.statusCode ?? 0,
        headers: [
          ...endToEndFields(response.rawHeaders, response.headers.connection),
          ...lengthFieldOf(response, body),
        ],
        body,
      },
      unreachable: false,
    });
  }

  /**
   * A back end may answer before it has read the whole body, and may read the
   * rest afterwards. It must not take the next request for that rest, so the
   * connection is closed.
   */
  private closeIfUnfinished(request: http.ClientRequest): void {
    if (!request.writableFinished) {
      request.destroy();
    }
  }

  private onError(error: Error): void {
    if (this.sent) {
      this.onConnectionError(error);
      return;
    }
    this.settle({
      outcome: { kind: 'not-run', reason: 'connect-failed', arrived: false },
      unreachable: (error as NodeJS.ErrnoException).code === 'ECONNREFUSED' || isTimeout(error),
    });
  }

  /**
   * After a reset, Node.js reports an answer without a length as complete, but only after this
   * error: the answer is destroyed before that, also if it is being passed on. An answer that is
   * complete already is whole; the error is about bytes behind it.
   */
  private onConnectionError(error: Error): void {
    if (!this.response?.complete) {
      this.response?.destroy(error);
      this.unknown('connection-lost');
    }
  }

  private notRun(
    reason: 'cancelled' | 'other-instance' | 'rejected-by-back-end',
    arrived: boolean,
  ): void {
    this.settle({ outcome: { kind: 'not-run', reason, arrived }, unreachable: false });
  }

  private unknown(reason: UnknownReason): void {
    this.settle({ outcome: { kind: 'unknown', reason }, unreachable: false });
  }

  private settle(result: BackEndCallResult): void {
    if (!this.settled) {
      this.settled = true;
      this.removeCancelListener();
      this.resolve(result);
    }
  }
}

/**
 * Destroys an answer without a length if its connection is reset. Such an answer
 * ends with its connection (RFC 9112, section 6.3, rule 8), so a reset means that
 * it is incomplete. Node.js reports a reset that arrives together with the last
 * bytes as a normal end, but the socket then has no remote address.
 */
function destroyOnReset(response: http.IncomingMessage): void {
  const { headers, socket } = response;
  if (headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined) {
    return;
  }
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) {
      response.destroy(new Error('the connection was reset'));
    }
  });
}

/**
 * The length of a long body, if the back end has stated it. A short body is framed where it is sent
 * to the client.
 */
function lengthFieldOf({ headers }: http.IncomingMessage, body: MessageBody): string[] {
  const length = headers['content-length'];
  return body.kind === 'bytes' || length === undefined ? [] : ['Content-Length', length];
}

function isTimeout(error: Error): boolean {
  return error.message === 'connect timeout';
}
