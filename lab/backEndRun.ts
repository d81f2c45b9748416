/** What a back end of the lab records of its requests. */
import type http from 'node:http';

/** One request that a back end has begun to work on. */
export interface Run {
  readonly requestId: string;
  readonly instance: string;
  /** Birth of the life that ran it. */
  readonly bornAt: number;
  /** Of the software that ran it. */
  readonly version: string;
  readonly method: string;
  readonly target: string;
  /** See `keptBodyBytes`. */
  readonly body: string;
  readonly bodyBytes: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly at: number;
  /** Set when the connection closed before the answer was sent. */
  cutAt: number | undefined;
  /** Set when the answer was sent. */
  answeredAt: number | undefined;
}

/** What a version makes of a request. */
export interface RunFate {
  /** Of the answer; 200 when left out. */
  readonly status?: number;
  /** How many times as long as usual it takes. */
  readonly slowness?: number;
}
