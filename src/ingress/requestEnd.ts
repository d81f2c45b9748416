/**
 * Follows one request to its end: the answer that is decided on, and whether the client got all of
 * it. A request has ended when the operating system has taken the last byte of its answer, when the
 * answer has been broken off, or when its client has left.
 */
import type http from 'node:http';
import type { Departure } from './pipelines.js';
import { type AnswerBreak, RequestEnding } from './requestRecord.js';

const HTTP_1_0 = '1.0';

/** The status and code of an answer. */
export interface Decision {
  readonly status: number;
  /** {@link RequestEnding.Answered}, or the code of a refusal. */
  readonly code: string;
}

/** How a request has ended. */
export interface EndedRequest extends Decision {
  readonly brokenBy: AnswerBreak | undefined;
  readonly departure: Departure | undefined;
}

/** The request. Each listener is called once at the most. */
export interface RequestEndContext {
  readonly response: http.ServerResponse;
  readonly onDecided: (decision: Decision) => void;
  readonly onEnded: (ended: EndedRequest) => void;
}

/** The end of one request. */
export interface RequestEnd {
  /** True once an answer has been decided on. */
  readonly isDecided: boolean;
  readonly hasEnded: boolean;
  /** Decides on the answer, which is written next. */
  decide(status: number, code: string): void;
  /** Closes the connection in the middle of the answer, so that the client sees that it is cut. */
  breakOff(reason: AnswerBreak): void;
  /** The client has left. */
  noteDeparture(departure: Departure): void;
}

export function createRequestEnd({ response, onDecided, onEnded }: RequestEndContext): RequestEnd {
  let decision: Decision | undefined;
  let brokenBy: AnswerBreak | undefined;
  let departure: Departure | undefined;
  let hasEnded = false;

  const endedAs = (): Decision => {
    if (response.writableFinished && decision) {
      return decision;
    }
    const status = response.headersSent ? (decision?.status ?? 0) : 0;
    return { status, code: brokenBy ? RequestEnding.Broken : RequestEnding.ClientLeft };
  };
  const end = (): void => {
    if (!hasEnded) {
      hasEnded = true;
      onEnded({ ...endedAs(), brokenBy, departure });
    }
  };

  response.on('close', end);

  return {
    get isDecided() {
      return decision !== undefined;
    },
    get hasEnded() {
      return hasEnded;
    },
    decide: (status, code) => {
      decision = { status, code };
      onDecided(decision);
    },
    breakOff: (reason) => {
      if (hasEnded || response.writableFinished) {
        return;
      }
      brokenBy ??= reason;
      if (mayEndWithConnection(response)) {
        response.socket?.resetAndDestroy();
      } else {
        response.destroy();
      }
    },
    noteDeparture: (how) => {
      if (!response.writableFinished) {
        departure = how;
        end();
      }
    },
  };
}

/**
 * True if the client may take the end of the connection for the end of the answer, as the answer
 * has no chunks and perhaps no length (RFC 9112, section 6.3, rule 8). Only a reset shows it then
 * that the answer is cut.
 */
function mayEndWithConnection({ headersSent, chunkedEncoding, req }: http.ServerResponse): boolean {
  return headersSent && !chunkedEncoding && req.httpVersion === HTTP_1_0;
}
