/** Makes the task that owners are offered from a client's request. */
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

/** An admitted request. */
export interface AdmittedRequest {
  readonly request: http.IncomingMessage;
  readonly requestId: string;
  readonly matched: MatchedRoute;
  readonly body: MessageBody;
  /** Names, in lower case, of fields that are not passed on. */
  readonly reserved: ReadonlySet<string>;
  readonly service: string;
  /** Name of the service whose back end runs on this machine. */
  readonly callerService: string;
  readonly tenant: MeshTenant | undefined;
  /** Steady time in milliseconds at which the head was read. */
  readonly startedAt: number;
  /** Milliseconds from `startedAt` until the final answer. */
  readonly allowedMs: number;
  readonly cancellation: Cancellation;
}

export function ownerTaskOf(admitted: AdmittedRequest): OwnerTask {
  const { request, matched, body, tenant, startedAt, allowedMs } = admitted;
  const { route, credential } = matched;
  const fields = endToEndFields(request.rawHeaders, request.headers.connection, admitted.reserved);
  const method = request.method ?? 'GET';
  const target = request.url ?? '/';
  return {
    requestId: admitted.requestId,
    method,
    target,
    fingerprint: fingerprintOf({
      method,
      host: request.headers.host ?? '',
      target,
      body: body.kind === 'bytes' ? [body.bytes] : body.head,
    }),
    headers: credential ? withField(fields, credential.header, credential.value) : fields,
    service: admitted.service,
    route: route.name,
    callerService: admitted.callerService,
    tenant: tenant?.name,
    priority: priorityOf(tenant, route),
    repeatable: route.kind === 'safe' && body.kind === 'bytes',
    deadlineAt: startedAt + allowedMs,
    targetAt: startedAt + Math.min(allowedMs, route.targetLatencyMs ?? allowedMs),
    hasBody: hasBody(request),
    // `startAttempt` sets this for each offer.
    mayWait: true,
    cancellation: admitted.cancellation,
    bufferedBody: body.kind === 'bytes' ? body : undefined,
    loadBody: () => Promise.resolve(body),
    onProgress: () => {},
  };
}
