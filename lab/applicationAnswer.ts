/** How a back end answers a request that it has run, with the faults that back ends show. */
import type http from 'node:http';
import type { Socket } from 'node:net';
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

/** How an answer states where its body ends (RFC 9112, section 6.3). */
export enum Framing {
  Length = 'length',
  Chunks = 'chunks',
  /** It ends with its connection. */
  Close = 'close',
}

/** How an answer breaks off. */
export enum Break {
  Reset = 'reset',
  Close = 'close',
  /** Nothing more is sent, and the connection stays open. */
  Silence = 'silence',
  /** Bytes that don't belong to an answer follow. */
  Nonsense = 'nonsense',
}

/** A long answer, which may break off after {@link sentBytes} of its body. */
export interface LongAnswer {
  readonly framing: Framing;
  readonly bytes: number;
  /** The answer is whole if left out. */
  readonly breaksBy?: Break;
  /** Half of the body if left out. */
  readonly sentBytes?: number;
  /** True if it is sent before the request's body has been read. */
  readonly isEarly?: boolean;
}

/** What an answer says. */
export interface AnswerFields {
  readonly requestId: string;
  readonly behaviour: Behaviour | LongAnswer;
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
  if (typeof behaviour === 'object') {
    answerAtLength(request, { ...fields, [NAMES.requestId]: requestId }, behaviour);
    return;
  }
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

/** Time for the part that was sent before a break to be read, in milliseconds. */
const BREAK_DELAY_MS = 30;

const NONSENSE = 'no chunk, no length and no answer\r\n';

/**
 * Writes the answer to its connection, which it does not share with other answers. The rest of an
 * early one's request is read behind it.
 */
function answerAtLength(
  request: http.IncomingMessage,
  fields: Readonly<Record<string, string>>,
  { framing, bytes, breaksBy, sentBytes = Math.floor(bytes / 2) }: LongAnswer,
): void {
  const { socket } = request;
  const lines = Object.entries({ ...fields, ...framingFieldsOf(framing, bytes) });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  const body = Buffer.alloc(breaksBy === undefined ? bytes : sentBytes, 'x');
  const isChunked = framing === Framing.Chunks;
  socket.on('error', () => {});
  socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`);
  if (isChunked) {
    socket.write(`${body.length.toString(16)}\r\n`);
  }
  socket.write(body);
  socket.write(isChunked ? '\r\n' : '', () => {
    if (breaksBy === undefined) {
      request.resume();
      socket.end(isChunked ? '0\r\n\r\n' : '');
    } else {
      setTimeout(() => breakOff(socket, breaksBy), BREAK_DELAY_MS);
    }
  });
}

/** True if the back end has sent all of the answer that it meant to. A silent one never has. */
export function hasSent(socket: Socket, { breaksBy }: LongAnswer): boolean {
  return socket.writableFinished && breaksBy !== Break.Silence;
}

function framingFieldsOf(framing: Framing, bytes: number): Record<string, string> {
  switch (framing) {
    case Framing.Length:
      return { 'content-length': String(bytes), connection: 'close' };
    case Framing.Chunks:
      return { 'transfer-encoding': 'chunked', connection: 'close' };
    default:
      return { connection: 'close' };
  }
}

function breakOff(socket: Socket, how: Break): void {
  switch (how) {
    case Break.Reset:
      socket.resetAndDestroy();
      return;
    case Break.Close:
      socket.end();
      return;
    case Break.Nonsense:
      socket.end(NONSENSE);
      return;
    default:
  }
}
