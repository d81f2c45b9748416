/**
 * Sends one task to the back end and verifies the answer: it must echo the
 * request's id, be complete, have no content encoding and, if its status is
 * 2xx, carry the back end's signature. Without such an answer, the outcome says
 * whether the task certainly has not run.
 */

import http from 'node:http';
import type { Socket } from 'node:net';
import { destroyOnReset, isInvalidAnswer, isReadToEnd, lengthFieldOf } from './backEndAnswer.js';
import { type BackEndNotice, readBackEndNotice } from './backEndNotice.js';
import { type BackEndRequestContext, backEndRequestOf } from './backEndRequest.js';
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

/** What a call to the back end needs besides the task and its body. */
export interface BackEndCallOptions extends BackEndRequestContext {
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

/**
 * Sends the task. Resolves once and never rejects. After a streamed answer, a cancellation of the
 * task has an effect until the answer's end.
 */
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
  private hasLostConnection = false;
  /** True if a streamed answer was cancelled while some of it waited to be read. */
  private isUnread = false;
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
      const request = http.request(backEndRequestOf(this.task, this.body, this.options));
      this.request = request;
      request.on('socket', (socket) => this.onSocket(request, socket));
      request.on('response', (response) => void this.onResponse(request, response));
      request.on('error', (error) => this.onError(error));
      this.removeCancelListener = this.task.cancellation.onCancel(() => {
        this.isUnread = this.settled && (this.response?.readableLength ?? 0) > 0;
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
    if (isInvalidAnswer(response, names)) {
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

  private async readAnswer(
    request: http.ClientRequest,
    response: http.IncomingMessage,
  ): Promise<void> {
    destroyOnReset(response);
    const body = await collectBody(response, MAX_BUFFERED_ANSWER_BYTES).catch(() => undefined);
    if (body?.kind !== 'stream') {
      this.closeIfUnfinished(request);
    }
    if (body === undefined) {
      this.unknown(this.breakReason);
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
        end: body.kind === 'stream' ? this.followRest(request, response) : undefined,
      },
      unreachable: false,
    });
  }

  /** Resolves at the end of a long answer, until which a cancellation closes its connection. */
  private async followRest(
    request: http.ClientRequest,
    response: http.IncomingMessage,
  ): Promise<UnknownReason | undefined> {
    const isWhole = await isReadToEnd(response);
    this.removeCancelListener();
    this.closeIfUnfinished(request);
    return isWhole ? undefined : this.breakReason;
  }

  /** Why an answer has broken off. */
  private get breakReason(): UnknownReason {
    if (this.task.cancellation.cancelled) {
      return this.isUnread ? 'unread' : 'cancelled';
    }
    return this.hasLostConnection ? 'connection-lost' : 'spoilt-answer';
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
      this.hasLostConnection = true;
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
    if (this.settled) {
      return;
    }
    this.settled = true;
    const { outcome } = result;
    if (outcome.kind !== 'answer' || !outcome.end) {
      this.removeCancelListener();
    }
    this.resolve(result);
  }
}

function isTimeout(error: Error): boolean {
  return error.message === 'connect timeout';
}
