/** Makes the HTTP request that brings a task to the back end. */
import type http from 'node:http';
import { endpointOf } from '../model/endpoint.js';
import type { BackEnd } from '../registry/back-end-registry.js';
import type { HeaderNames } from './header-names.js';
import type { MessageBody } from './message-body.js';
import type { OwnerTask } from './owner.js';

/** Methods whose requests are always framed as having a body, even an empty one. */
const BODY_METHODS = new Set(['POST', 'PUT', 'PATCH']);

/** What a request to the back end needs besides the task and its body. */
export interface BackEndRequestContext {
  readonly backEnd: BackEnd;
  readonly names: HeaderNames;
  readonly agent: http.Agent;
  /** Milliseconds until the task's deadline. */
  readonly remainingMs: number;
}

export function backEndRequestOf(
  task: OwnerTask,
  body: MessageBody,
  { backEnd, names, agent, remainingMs }: BackEndRequestContext,
): http.RequestOptions {
  const headers = [
    ...task.headers,
    names.deadline,
    String(Math.max(1, Math.floor(remainingMs))),
    names.expectInstance,
    backEnd.instance,
    names.callerService,
    task.callerService,
    ...(task.tenant === undefined ? [] : [names.tenant, task.tenant]),
    ...framingFieldsOf(task, body),
  ];
  return {
    ...endpointOf(backEnd.address),
    method: task.method,
    path: task.target,
    headers: headers as unknown as http.OutgoingHttpHeaders,
    agent,
  };
}

function framingFieldsOf({ hasBody, method }: OwnerTask, body: MessageBody): string[] {
  if (body.kind === 'stream') {
    return ['Transfer-Encoding', 'chunked', 'Connection', 'keep-alive'];
  }
  const { length } = body.bytes;
  const isFramed = hasBody || length > 0 || BODY_METHODS.has(method);
  return [...(isFramed ? ['Content-Length', String(length)] : []), 'Connection', 'keep-alive'];
}
