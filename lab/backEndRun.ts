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
  /** Set when the connection closed before the whole answer was sent. */
  cutAt: number | undefined;
  /** Set when the answer, if there is one, began to be sent. */
  answeredAt: number | undefined;
}

/** What a version makes of a request. */
export interface RunFate {
  /** Of the answer; 200 when left out. */
  readonly status?: number;
  /** How many times as long as usual it takes. */
  readonly slowness?: number;
}

/** What a back end knows of itself and of a request when it begins to work on it. */
export interface RunStart {
  readonly request: http.IncomingMessage;
  readonly requestId: string;
  readonly body: Buffer;
  /** Bytes of the body that are kept. */
  readonly keptBodyBytes: number;
  readonly backEnd: Pick<Run, 'instance' | 'bornAt' | 'version'>;
}

export function beginRun({ request, requestId, body, keptBodyBytes, backEnd }: RunStart): Run {
  const { instance, bornAt, version } = backEnd;
  return {
    requestId,
    instance,
    bornAt,
    version,
    method: request.method ?? '',
    target: request.url ?? '',
    body: body.subarray(0, keptBodyBytes).toString(),
    bodyBytes: body.length,
    headers: request.headers,
    at: performance.now(),
    cutAt: undefined,
    answeredAt: undefined,
  };
}
