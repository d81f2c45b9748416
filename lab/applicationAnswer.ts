/** How a back end answers a request that it has run, with the faults that back ends show. */
import type http from 'node:http';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';

/** How a back end treats the next request. */
export type Behaviour =
  | 'serve'
  /** Runs it and never answers. */
  | 'stay-silent'
  /** Runs it and resets the connection. */
  | 'reset'
  /** Says that it did not run it. */
  | 'turn-away'
  /** Runs it and answers with another request's id. */
  | 'answer-another'
  /** Runs it and breaks its answer off. */
  | 'cut-short'
  /** Answers before it has read the body. */
  | 'answer-early';

/** What an answer says. */
export interface AnswerFields {
  readonly requestId: string;
  readonly behaviour: Behaviour;
  readonly status: number;
  /** Id of the back end that answers. */
  readonly instance: string;
  /** Least length of the body, which spaces fill up. */
  readonly leastBytes?: number;
}

/** Answers, or does not, as the behaviour says. */
export function answer(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  { requestId, behaviour, status, instance, leastBytes = 0 }: AnswerFields,
): void {
  const fields = { [NAMES.signature]: instance, 'content-type': 'text/plain' };
  const body = `answer to ${requestId}`.padEnd(leastBytes);
  switch (behaviour) {
    case 'stay-silent':
      return;
    case 'reset':
      request.socket.resetAndDestroy();
      return;
    case 'answer-another':
      response.writeHead(200, { ...fields, [NAMES.requestId]: 'another' });
      response.end('answer to another');
      return;
    case 'cut-short':
      response.writeHead(200, {
        ...fields,
        [NAMES.requestId]: requestId,
        'content-length': body.length + 10,
      });
      response.write(body, () => request.socket.destroy());
      return;
    default:
      response.writeHead(status, { ...fields, [NAMES.requestId]: requestId });
      response.end(body);
  }
}
