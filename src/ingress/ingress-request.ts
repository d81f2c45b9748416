/** Serves one client's request, from its head to the final answer. */
import type http from 'node:http';
import type { OwnerRecord } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { Cancellation } from '../owner/cancellation.js';
import type { MessageBody } from '../owner/message-body.js';
import type { OwnerTask } from '../owner/owner.js';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { MatchedRoute, RouteMatcher } from '../routing/route-matcher.js';
import { AccessKind } from '../tenants/access.js';
import type { QuotaDecision, QuotaGate, QuotaRefusalDetails } from '../tenants/quotaGate.js';
import type { MeshTenant } from '../tenants/tenant.js';
import { type ClientRefusal, sendAnswer, sendRefusal } from './client-answer.js';
import type { ClientAccess, ClientAccessContext } from './clientAccess.js';
import { Dispatch, type DispatchContext } from './dispatch.js';
import { ownerTaskOf } from './ownerTask.js';
import { createPlacementFilter, type OwnerFilter } from './placementFilter.js';
import { hasBody, headBytes, readBody } from './requestMessage.js';
import type { RequestRecord } from './requestRecord.js';
import { timeLimitOf } from './timeLimit.js';

/** Milliseconds after which clients may retry if the configuration is missing or may be stale. */
const CONFIGURATION_RETRY_AFTER_MS = 250;

const BEHIND: ClientRefusal = {
  code: 'configuration-behind',
  status: 503,
  retryAfterMs: CONFIGURATION_RETRY_AFTER_MS,
};

/** Milliseconds after which clients may retry during a stop. Short, as other nodes can serve. */
const STOPPING_RETRY_AFTER_MS = 20;

/** Dependencies on the node. */
export interface IngressOptions extends DispatchContext, ClientAccessContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly routes: () => RouteMatcher | undefined;
  /** The record of this node. */
  readonly ownRecord: () => OwnerRecord;
  /** Name of the service whose back end runs on this machine. */
  readonly callerService: () => string;
  /** Undefined if no quota applies to tenants. */
  readonly quotaGate?: QuotaGate | undefined;
  readonly onFinished: (record: RequestRecord) => void;
}

/** One client's request. */
export class IngressRequest {
  private readonly cancellation = new Cancellation();
  private readonly startedAt: number;
  private readonly requestId: string;
  private route: MeshRoute | undefined;
  private service = '';
  private tenant: MeshTenant | undefined;
  /** True if any configuration by which this request's access was decided has tenants. */
  private hasTenants = false;
  private quota: QuotaRefusalDetails | undefined;
  /** Puts the request's token back into the tenant's quota. */
  private refundQuota = (): void => {};
  private fingerprint = '';
  private version = 0;
  private allowedMs = 0;
  private dispatch: Dispatch | undefined;
  private cancelTimer: () => void = () => {};
  private isFinished = false;

  constructor(
    private readonly options: IngressOptions,
    private readonly access: ClientAccess,
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
  ) {
    this.startedAt = options.clock.now();
    const id = request.headers[options.names.requestId.toLowerCase()];
    this.requestId = typeof id === 'string' ? id : '';
  }

  /**
   * `closeIfLast` is called when the answer is written. True if the answer must close the
   * connection, which then serves no more requests. `latestEnd` is the steady time in milliseconds
   * at which a planned stop would cut the request off.
   */
  async run(closeIfLast: () => boolean, latestEnd: number): Promise<void> {
    this.request.on('error', () => {});
    this.response.on('error', () => {});
    this.response.on('close', () => this.onClose());
    const routes = this.options.routes();
    if (!routes) {
      this.refuse({ ...BEHIND, code: 'no-configuration' }, closeIfLast());
      return;
    }
    this.version = routes.version;
    const matched = routes.match(this.request.headers.host ?? '', this.request.url ?? '/');
    if (!matched) {
      this.refuse(this.noRoute(), closeIfLast());
      return;
    }
    this.route = matched.route;
    if (!this.checkAccess(routes, matched.route, closeIfLast)) {
      return;
    }
    if (headBytes(this.request) > routes.configuration.limits.maxHeaderBytes) {
      this.refuse({ code: 'head-too-large', status: 431 }, true);
      return;
    }
    this.service = matched.split.next();
    this.startTimer(matched.route, closeIfLast);
    if (this.startedAt + this.allowedMs > latestEnd) {
      const refusal = { status: 503, retryAfterMs: STOPPING_RETRY_AFTER_MS } as const;
      this.refuse({ code: 'stopping', ...refusal }, closeIfLast());
      return;
    }
    const placement = this.placementFor(matched);
    if (placement.isLeft()) {
      this.refuse({ code: 'ambiguous-path', status: 400 }, closeIfLast());
      return;
    }
    const { tenant } = this;
    const decision = tenant && (await this.options.quotaGate?.admit(tenant));
    if (decision && !this.applyQuota(decision, closeIfLast)) {
      return;
    }
    const body = await readBody(this.request, routes.configuration.limits);
    if (body === 'too-large') {
      this.refuse({ code: 'too-large', status: 413 }, true);
    } else if (body && !this.isFinished && this.recheckAccess(routes, matched.route, closeIfLast)) {
      // While the body arrived, the key may have been moved to another tenant.
      const isSameTenant = this.tenant?.name === tenant?.name;
      const placementNow = isSameTenant ? placement : this.placementFor(matched);
      // Never a refusal here, as the same path was accepted above.
      await this.bringToOwner(matched, body, placementNow.orDefault(undefined), closeIfLast);
    }
  }

  /** If there may be a newer configuration, it may have the route; 404 would then be wrong. */
  private noRoute(): ClientRefusal {
    return this.options.mayBeBehind() ? BEHIND : { code: 'no-route', status: 404 };
  }

  /** Stores the tenant of the request, or refuses the request and returns false. */
  private checkAccess(routes: RouteMatcher, route: MeshRoute, closeIfLast: () => boolean): boolean {
    const access = this.access.decide(this.request, routes, route);
    this.hasTenants ||= routes.keyring.hasTenants;
    if (access.kind === AccessKind.Granted) {
      this.tenant = access.tenant;
      return true;
    }
    const isDenied = access.kind === AccessKind.Denied;
    this.refuse(isDenied ? { code: 'unknown-key', status: 401 } : BEHIND, closeIfLast());
    return false;
  }

  /** Stores the refund, or refuses the request. False if the request has ended. */
  private applyQuota(decision: QuotaDecision, closeIfLast: () => boolean): boolean {
    if (decision.isAdmitted) {
      this.refundQuota = decision.refund;
      if (this.isFinished) {
        // The client has left while the gate asked other holders for tokens.
        this.refundQuota();
      }
      return !this.isFinished;
    }
    this.quota = decision.details;
    const { retryAfterMs } = decision;
    this.refuse({ code: 'over-quota', status: 429, retryAfterMs }, closeIfLast());
    return false;
  }

  /** Checks the key again, as a new configuration may have revoked it while the body arrived. */
  private recheckAccess(
    earlierRoutes: RouteMatcher,
    route: MeshRoute,
    closeIfLast: () => boolean,
  ): boolean {
    const routes = this.options.routes() ?? earlierRoutes;
    return !hasBody(this.request) || this.checkAccess(routes, route, closeIfLast);
  }

  private async bringToOwner(
    matched: MatchedRoute,
    body: MessageBody,
    mayServe: OwnerFilter | undefined,
    closeIfLast: () => boolean,
  ): Promise<void> {
    const isStream = body.kind === 'stream';
    const dispatch = new Dispatch(
      this.options,
      this.taskOf(matched, body),
      isStream ? 1 : matched.route.maxAttempts,
      body.kind === 'bytes' ? body.bytes.length : Number.POSITIVE_INFINITY,
      mayServe,
    );
    this.dispatch = dispatch;
    const { result } = await dispatch.run();
    if (this.isFinished) {
      return;
    }
    if ('kind' in result) {
      this.finish(result.status, 'answered');
      await sendAnswer(this.response, result, this.request.method ?? 'GET', closeIfLast());
    } else {
      this.refuse(result, closeIfLast());
    }
  }

  /** Owner filter of the route's policies. Undefined if none; Left if the path is ambiguous. */
  private placementFor(matched: MatchedRoute): ReturnType<typeof createPlacementFilter> {
    const caller = {
      tenant: this.tenant?.name,
      hiddenFields: this.access.tenantFields(this.hasTenants),
    };
    return createPlacementFilter(
      this.request,
      matched,
      this.service,
      this.options.ownRecord(),
      caller,
    );
  }

  private taskOf(matched: MatchedRoute, body: MessageBody): OwnerTask {
    const task = ownerTaskOf({
      request: this.request,
      requestId: this.requestId,
      matched,
      body,
      reserved: this.access.reservedFields(this.hasTenants),
      service: this.service,
      callerService: this.options.callerService(),
      tenant: this.tenant,
      startedAt: this.startedAt,
      allowedMs: this.allowedMs,
      cancellation: this.cancellation,
    });
    this.fingerprint = task.fingerprint;
    return task;
  }

  /** Cancels the request at the client's deadline or the route's timeout, whichever is sooner. */
  private startTimer(route: MeshRoute, closeIfLast: () => boolean): void {
    const deadlineField = this.options.names.deadline.toLowerCase();
    const { allowedMs, code } = timeLimitOf(this.request, deadlineField, route);
    this.allowedMs = allowedMs;
    this.cancelTimer = this.options.timers.set(() => {
      // A cancelled dispatch ends at once. Its refusal has the code `deadline` for the timeout too,
      // and a status that depends on whether the request may have run.
      this.cancellation.cancel();
      if (!this.dispatch) {
        this.refuse({ code, status: 503, retryAfterMs: 0 }, closeIfLast());
      }
    }, allowedMs);
  }

  private refuse(refusal: ClientRefusal, closes: boolean): void {
    if (this.isFinished) {
      return;
    }
    this.finish(refusal.status, refusal.code);
    const idField = this.requestId === '' ? [] : [this.options.names.requestId, this.requestId];
    sendRefusal(this.response, refusal, idField, closes);
  }

  /** Called when the client has left or the whole answer has been sent. */
  private onClose(): void {
    this.cancelTimer();
    if (!this.response.writableFinished) {
      this.finish(0, 'client-left');
      this.cancellation.cancel();
    }
  }

  private finish(status: number, code: string): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    this.cancelTimer();
    // Status 503 promises that the request has not run. If the client has left, an owner may still
    // have the request, so its token is not put back.
    if (!this.dispatch || (code !== 'answered' && status === 503)) {
      this.refundQuota();
    }
    this.options.onFinished({
      requestId: this.requestId,
      fingerprint: this.fingerprint,
      route: this.route?.name ?? '',
      service: this.service,
      tenant: this.tenant?.name,
      quota: this.quota,
      version: this.version,
      status,
      code,
      offers: this.dispatch?.history ?? [],
      durationMs: this.options.clock.now() - this.startedAt,
      allowedMs: this.allowedMs,
    });
  }
}
