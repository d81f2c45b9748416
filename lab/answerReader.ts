/** A client that tells whether an answer looks whole to it, by what HTTP says of its framing. */
import http from 'node:http';
import net from 'node:net';
import { endpointOf } from '../src/model/endpoint.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';

/** What an answer looks like to its client when it has ended. */
export enum AnswerLook {
  Whole = 'whole',
  Broken = 'broken',
  /** Nothing of it came. */
  None = 'none',
  /** It has not ended within the time that the client waits. */
  Unended = 'unended',
}

export interface ReadAnswer {
  /** 0 if no head came. */
  readonly status: number;
  readonly bytes: number;
  readonly look: AnswerLook;
  /** Milliseconds until the end. */
  readonly tookMs: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** How a client asks and reads. */
export interface AnswerReading {
  readonly requestId: string;
  readonly method?: string;
  readonly body?: Buffer;
  /** HTTP/1.0 has no chunks: an answer without a length ends with its connection. */
  readonly version?: '1.0' | '1.1';
  /** Milliseconds for which it stops reading after the first bytes of the body. */
  readonly pauseMs?: number;
  /** Milliseconds for which it waits for the end. */
  readonly waitMs?: number;
}

const DEFAULT_WAIT_MS = 10_000;
const HOST = 'mesh.example';

export function readAnswer(
  address: string,
  path: string,
  reading: AnswerReading,
): Promise<ReadAnswer> {
  return reading.version === '1.0'
    ? readOldAnswer(address, path, reading)
    : readChunkedAnswer(address, path, reading);
}

/** Reads with the HTTP/1.1 client of the platform, which checks lengths and chunks. */
function readChunkedAnswer(
  address: string,
  path: string,
  { requestId, method = 'GET', body, pauseMs = 0, waitMs = DEFAULT_WAIT_MS }: AnswerReading,
): Promise<ReadAnswer> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let bytes = 0;
    let headers: http.IncomingHttpHeaders = {};
    const end = (look: AnswerLook): void => {
      clearTimeout(timer);
      resolve({ status, bytes, look, tookMs: performance.now() - startedAt, headers });
      request.destroy();
    };
    const request = http.request({
      ...endpointOf(address),
      path,
      method,
      agent: false,
      headers: { host: HOST, [NAMES.requestId]: requestId },
    });
    const timer = setTimeout(() => end(AnswerLook.Unended), waitMs);
    request.on('error', () => end(status === 0 ? AnswerLook.None : AnswerLook.Broken));
    request.on('response', (response) => {
      status = response.statusCode ?? 0;
      headers = response.headers;
      response.on('data', (chunk: Buffer) => {
        if (bytes === 0 && pauseMs > 0) {
          response.pause();
          setTimeout(() => response.resume(), pauseMs);
        }
        bytes += chunk.length;
      });
      response.on('error', () => end(AnswerLook.Broken));
      response.on('end', () => end(response.complete ? AnswerLook.Whole : AnswerLook.Broken));
    });
    request.end(body);
  });
}

/** Reads until the connection ends, as a client of HTTP/1.0 does. */
function readOldAnswer(
  address: string,
  path: string,
  { requestId, pauseMs = 0, waitMs = DEFAULT_WAIT_MS }: AnswerReading,
): Promise<ReadAnswer> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const socket = net.connect(endpointOf(address));
    const chunks: Buffer[] = [];
    const end = (hasEndedInOrder: boolean, isOver = true): void => {
      clearTimeout(timer);
      socket.destroy();
      const answer = parsed(Buffer.concat(chunks));
      const tookMs = performance.now() - startedAt;
      resolve({ ...answer, look: lookOf(answer, hasEndedInOrder, isOver), tookMs });
    };
    const timer = setTimeout(() => end(false, false), waitMs);
    socket.on('data', (chunk) => {
      if (chunks.length === 0 && pauseMs > 0) {
        socket.pause();
        setTimeout(() => socket.resume(), pauseMs);
      }
      chunks.push(chunk);
    });
    socket.on('error', () => end(false));
    // Node.js reports a reset that it finds together with data as an ordinary end.
    socket.on('end', () => end(socket.remoteAddress !== undefined));
    socket.write(
      `GET ${path} HTTP/1.0\r\nHost: ${HOST}\r\n${NAMES.requestId}: ${requestId}\r\n\r\n`,
    );
  });
}

interface ParsedAnswer extends Pick<ReadAnswer, 'status' | 'bytes' | 'headers'> {}

const HEAD_END = '\r\n\r\n';

function parsed(received: Buffer): ParsedAnswer {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd < 0) {
    return { status: 0, bytes: 0, headers: {} };
  }
  const [statusLine = '', ...lines] = received.subarray(0, headEnd).toString().split('\r\n');
  const fields = lines.map((line) => {
    const [name = '', ...value] = line.split(':');
    return [name.toLowerCase(), value.join(':').trim()] as const;
  });
  return {
    status: Number(statusLine.split(' ')[1]),
    bytes: received.length - headEnd - HEAD_END.length,
    headers: Object.fromEntries(fields),
  };
}

function lookOf(answer: ParsedAnswer, hasEndedInOrder: boolean, isOver: boolean): AnswerLook {
  if (!isOver) {
    return AnswerLook.Unended;
  }
  if (answer.status === 0) {
    return AnswerLook.None;
  }
  const length = answer.headers['content-length'];
  const isWhole = length === undefined ? hasEndedInOrder : answer.bytes === Number(length);
  return isWhole ? AnswerLook.Whole : AnswerLook.Broken;
}
