/** A client's request as a task for an owner. */
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

/** What the ingress knows of the request besides. */
export interface RequestSetting {
  readonly requestId: string;
  readonly matched: MatchedRoute;
  /** The one that the route's traffic split has given. */
  readonly service: string;
  readonly tenant: MeshTenant | undefined;
  /** Service that runs on this machine. */
  readonly callerService: string;
  /** Names of header fields, in lower case, that stay here. */
  readonly reserved: ReadonlySet<string>;
  /** Steady time in milliseconds. */
  readonly startedAt: number;
  /** Milliseconds until its final answer at the latest. */
  readonly allowedMs: number;
  readonly cancellation: Cancellation;
}

export function taskOfRequest(
  request: http.IncomingMessage,
  body: MessageBody,
  setting: RequestSetting,
): OwnerTask {
  const { matched, tenant, reserved, startedAt, allowedMs } = setting;
  const { route, credential } = matched;
  const fields = endToEndFields(request.rawHeaders, request.headers.connection, reserved);
  const targetMs = Math.min(allowedMs, route.targetLatencyMs ?? allowedMs);
  const method = request.method ?? 'GET';
  const target = request.url ?? '/';
  const isHeld = body.kind === 'bytes';
  const fingerprint = fingerprintOf({
    method,
    host: request.headers.host ?? '',
    target,
    body: isHeld ? [body.bytes] : body.head,
  });
  return {
    requestId: setting.requestId,
    method,
    target,
    fingerprint,
    headers: credential ? withField(fields, credential.header, credential.value) : fields,
    service: setting.service,
    route: route.name,
    callerService: setting.callerService,
    tenant: tenant?.name,
    priority: priorityOf(tenant, route),
    repeatable: route.kind === 'safe' && isHeld,
    deadlineAt: startedAt + allowedMs,
    targetAt: startedAt + targetMs,
    hasBody: hasBody(request),
    mayWait: true,
    hasWaited: false,
    cancellation: setting.cancellation,
    heldBody: isHeld ? body : undefined,
    loadBody: () => Promise.resolve(body),
    onProgress: () => {},
  };
}
