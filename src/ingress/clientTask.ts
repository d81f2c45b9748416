/** A client's request as the task that owners get. */
import type http from 'node:http';
import type { Cancellation } from '../owner/cancellation.js';
import type { MessageBody } from '../owner/message-body.js';
import type { OwnerTask } from '../owner/owner.js';
import { endToEndFields, withField } from '../owner/raw-headers.js';
import { fingerprintOf } from '../quarantine/fingerprint.js';
import type { MatchedRoute } from '../routing/route-matcher.js';
import { priorityOf } from '../tenants/priority.js';
import type { MeshTenant } from '../tenants/tenant.js';
import { hasBody } from './requestMessage.js';

/** What a task is made of. */
export interface ClientTask {
  readonly request: http.IncomingMessage;
  readonly requestId: string;
  readonly fingerprint: string;
  /** Names of header fields, in lower case, that clients may not set. */
  readonly reservedFields: ReadonlySet<string>;
  readonly matched: MatchedRoute;
  readonly service: string;
  readonly callerService: string;
  readonly tenant: MeshTenant | undefined;
  /** Steady time in milliseconds. */
  readonly startedAt: number;
  readonly allowedMs: number;
  readonly body: MessageBody;
  readonly cancellation: Cancellation;
}

/** Tells requests that are the same; of a stream by what has come in. */
export function fingerprintOfRequest(request: http.IncomingMessage, body: MessageBody): string {
  return fingerprintOf({
    method: methodOf(request),
    host: request.headers.host ?? '',
    target: targetOf(request),
    body: body.kind === 'bytes' ? [body.bytes] : body.head,
  });
}

export function clientTaskOf(parts: ClientTask): OwnerTask {
  const { request, body, matched, tenant, startedAt, allowedMs } = parts;
  const { route, credential } = matched;
  const { rawHeaders, headers } = request;
  const fields = endToEndFields(rawHeaders, headers.connection, parts.reservedFields);
  const targetMs = Math.min(allowedMs, route.targetLatencyMs ?? allowedMs);
  return {
    requestId: parts.requestId,
    method: methodOf(request),
    target: targetOf(request),
    fingerprint: parts.fingerprint,
    headers: credential ? withField(fields, credential.header, credential.value) : fields,
    service: parts.service,
    route: route.name,
    callerService: parts.callerService,
    tenant: tenant?.name,
    priority: priorityOf(tenant, route),
    repeatable: route.kind === 'safe' && body.kind === 'bytes',
    deadlineAt: startedAt + allowedMs,
    targetAt: startedAt + targetMs,
    hasBody: hasBody(request),
    mayWait: true,
    cancellation: parts.cancellation,
    heldBody: body.kind === 'bytes' ? body : undefined,
    loadBody: () => Promise.resolve(body),
    onProgress: () => {},
  };
}

function methodOf({ method = 'GET' }: http.IncomingMessage): string {
  return method;
}

function targetOf({ url = '/' }: http.IncomingMessage): string {
  return url;
}
