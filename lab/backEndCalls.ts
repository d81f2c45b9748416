/** The calls that a back end makes, through its node, while it runs a request. */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { endpointOf } from '../src/model/endpoint.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';

/** The calls for one request: all are sent at the same time, after a pause. */
export interface CallPlan {
  /** Where the node beside the back end accepts requests. */
  readonly address: string;
  readonly paths: readonly string[];
  /** Milliseconds of work before the calls. */
  readonly afterMs?: number;
  /** False if the request succeeds without its calls. */
  readonly areNeeded?: boolean;
}

const HOST = 'mesh.example';
const OK = 200;

/** Stands between the id of a request and the number of a call that is made for it. */
const CALL_MARK = '.';

/** Id of a call: that of its parent request and a number. */
function callIdOf(parentId: string, index: number): string {
  return `${parentId}${CALL_MARK}${index}`;
}

export function isCallId(requestId: string): boolean {
  return requestId.includes(CALL_MARK);
}

/** Id of the client's request that a request was made for: its own, or that of its first parent. */
export function rootIdOf(requestId: string): string {
  return requestId.split(CALL_MARK, 1)[0] as string;
}

/**
 * Makes the calls of one request. Closes their connections when the connection of the parent request
 * closes. Resolves with true if the request can succeed.
 */
export async function makeCalls(
  { address, paths, afterMs = 0, areNeeded = true }: CallPlan,
  parent: { readonly requestId: string },
  parentResponse: http.ServerResponse,
): Promise<boolean> {
  await delay(afterMs);
  if (parentResponse.destroyed) {
    return false;
  }
  const results = paths.map((path, index) =>
    makeCall(address, path, callIdOf(parent.requestId, index), parentResponse),
  );
  const statuses = await Promise.all(results);
  return !areNeeded || statuses.every((status) => status === OK);
}

/** Resolves with the status, 0 if there is no answer. */
function makeCall(
  address: string,
  path: string,
  requestId: string,
  parentResponse: http.ServerResponse,
): Promise<number> {
  return new Promise((resolve) => {
    const request = http.request({
      ...endpointOf(address),
      path,
      agent: false,
      headers: { host: HOST, [NAMES.requestId]: requestId },
    });
    const leave = (): void => void request.destroy();
    parentResponse.once('close', leave);
    request.on('error', () => resolve(0));
    request.on('close', () => {
      parentResponse.off('close', leave);
      resolve(0);
    });
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
    });
    request.end();
  });
}
