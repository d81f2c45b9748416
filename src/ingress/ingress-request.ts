/** Serves one client's request, from its head to the final answer. */
import type http from 'node:http';
import { afterPendingReads } from '../model/readBarrier.js';
import { Cancellation } from '../owner/cancellation.js';
import type { MessageBody } from '../owner/message-body.js';
import type { OwnerTask } from '../owner/owner.js';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { MatchedRoute, RouteMatcher } from '../routing/route-matcher.js';
import { AccessKind } from '../tenants/access.js';
import type { QuotaDecision, QuotaRefusalDetails } from '../tenants/quotaGate.js';
import type { MeshTenant } from '../tenants/tenant.js';
import { type AnswerPlace, type AnswerWriter, createAnswerWriter } from './answerWriter.js';
import type { ClientRefusal } from './client-answer.js';
import type { ClientAccess } from './clientAccess.js';
import { Dispatch } from './dispatch.js';
import type { IngressOptions } from './ingressOptions.js';
import { BEHIND, STOPPING } from './nodeRefusals.js';
import { ownerTaskOf } from './ownerTask.js';
import type { Departure } from './pipelines.js';
import { createPlacementFilter, type OwnerFilter } from './placementFilter.js';
import { hasBody, headBytes, readBody } from './requestMessage.js';
import { timeLimitOf } from './timeLimit.js';

/** A request that may be offered to owners. */
interface ReadRequest {
  readonly matched: MatchedRoute;
  readonly body: MessageBody;
  readonly mayServe: OwnerFilter | undefined;
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
  private departure: Departure | undefined;
  private readonly writer: AnswerWriter;
  /** Resolves when the refusal, if there is one, has been written. */
  private refusalWritten: Promise<void> = Promise.resolve();

  constructor(
    private readonly options: IngressOptions,
    private readonly access: ClientAccess,
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    place: AnswerPlace,
  ) {
    this.startedAt = options.clock.now();
    const idName = options.names.requestId;
    const id = request.headers[idName.toLowerCase()];
    this.requestId = typeof id === 'string' ? id : '';
    const idField = this.requestId === '' ? [] : [idName, this.requestId];
    this.writer = createAnswerWriter({ request, response, idField, place });
  }

  /**
   * Resolves when the answer has been written. `latestEnd` is the steady time in milliseconds at which
   * a planned stop would cut the request off.
   */
  async run(latestEnd: number): Promise<void> {
    this.request.on('error', () => {});
    this.response.on('error', () => {});
    this.response.on('close', () => this.onClose());
    const admitted = await this.admit(latestEnd);
    if (admitted) {
      await this.bringToOwner(admitted);
    }
    await this.refusalWritten;
  }

  /** Undefined if the request has ended. */
  private async admit(latestEnd: number): Promise<ReadRequest | undefined> {
    const routes = this.options.routes();
    if (!routes) {
      return this.refuse({ ...BEHIND, code: 'no-configuration' });
    }
    this.version = routes.version;
    const matched = routes.match(this.request.headers.host ?? '', this.request.url ?? '/');
    if (!matched) {
      return this.refuse(this.noRoute());
    }
    this.route = matched.route;
    if (!this.checkAccess(routes, matched.route)) {
      return undefined;
    }
    if (headBytes(this.request) > routes.configuration.limits.maxHeaderBytes) {
      return this.refuse({ code: 'head-too-large', status: 431 }, true);
    }
    this.service = matched.split.next();
    this.startTimer(matched.route);
    if (this.startedAt + this.allowedMs > latestEnd) {
      return this.refuse(STOPPING);
    }
    const placement = this.placementFor(matched);
    if (placement.isLeft()) {
      return this.refuse({ code: 'ambiguous-path', status: 400 });
    }
    const { tenant } = this;
    const decision = tenant && (await this.options.quotaGate?.admit(tenant));
    if (decision && !this.applyQuota(decision)) {
      return undefined;
    }
    const body = await readBody(this.request, routes.configuration.limits);
    // A client that has left may have done so together with the last of its request.
    await afterPendingReads();
    if (body === 'too-large') {
      return this.refuse({ code: 'too-large', status: 413 }, true);
    }
    if (!body || this.isFinished || !this.recheckAccess(routes, matched.route)) {
      return undefined;
    }
    // While the body arrived, the key may have been moved to another tenant.
    const isSameTenant = this.tenant?.name === tenant?.name;
    const placementNow = isSameTenant ? placement : this.placementFor(matched);
    // Never a refusal here, as the same path was accepted above.
    return { matched, body, mayServe: placementNow.orDefault(undefined) };
  }

  /** If there may be a newer configuration, it may have the route; 404 would then be wrong. */
  private noRoute(): ClientRefusal {
    return this.options.mayBeBehind() ? BEHIND : { code: 'no-route', status: 404 };
  }

  /** Stores the tenant of the request, or refuses the request and returns false. */
  private checkAccess(routes: RouteMatcher, route: MeshRoute): boolean {
    const access = this.access.decide(this.request, routes, route);
    this.hasTenants ||= routes.keyring.hasTenants;
    if (access.kind === AccessKind.Granted) {
      this.tenant = access.tenant;
      return true;
    }
    const isDenied = access.kind === AccessKind.Denied;
    this.refuse(isDenied ? { code: 'unknown-key', status: 401 } : BEHIND);
    return false;
  }

  /** Stores the refund, or refuses the request. False if the request has ended. */
  private applyQuota(decision: QuotaDecision): boolean {
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
    this.refuse({ code: 'over-quota', status: 429, retryAfterMs });
    return false;
  }

  /** Checks the key again, as a new configuration may have revoked it while the body arrived. */
  private recheckAccess(earlierRoutes: RouteMatcher, route: MeshRoute): boolean {
    const routes = this.options.routes() ?? earlierRoutes;
    return !hasBody(this.request) || this.checkAccess(routes, route);
  }

  private async bringToOwner({ matched, body, mayServe }: ReadRequest): Promise<void> {
    const task = this.taskOf(matched, body);
    const readAhead =
      body.kind === 'stream' ? this.options.readAhead.start(body.head, this.request) : undefined;
    const dispatch = new Dispatch(
      this.options,
      readAhead ? { ...task, loadBody: readAhead.take } : task,
      readAhead ? 1 : matched.route.maxAttempts,
      body.kind === 'bytes' ? body.bytes.length : Number.POSITIVE_INFINITY,
      mayServe,
    );
    this.dispatch = dispatch;
    const { result } = await dispatch.run();
    readAhead?.release();
    if (this.isFinished) {
      return;
    }
    if ('kind' in result) {
      this.finish(result.status, 'answered');
      await this.writer.answer(result);
    } else {
      this.refuse(result);
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
  private startTimer(route: MeshRoute): void {
    const deadlineField = this.options.names.deadline.toLowerCase();
    const { allowedMs, code } = timeLimitOf(this.request, deadlineField, route);
    this.allowedMs = allowedMs;
    this.cancelTimer = this.options.timers.set(() => {
      // A cancelled dispatch ends at once. Its refusal has the code `deadline` for the timeout too,
      // and a status that depends on whether the request may have run.
      this.cancellation.cancel();
      if (!this.dispatch) {
        this.refuse({ code, status: 503, retryAfterMs: 0 });
      }
    }, allowedMs);
  }

  /** `mustClose` is true if the connection cannot be used after the refusal. */
  private refuse(refusal: ClientRefusal, mustClose = false): undefined {
    if (!this.isFinished) {
      this.finish(refusal.status, refusal.code);
      this.refusalWritten = this.writer.refuse(refusal, mustClose);
    }
  }

  /** The client has left before it got the whole answer. */
  onDeparture(departure: Departure): void {
    if (!this.response.writableFinished) {
      this.departure = departure;
      this.finish(0, 'client-left');
      this.cancellation.cancel();
    }
  }

  /** Called when the whole answer has been sent, or when it has been broken off. */
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
      departure: this.departure,
      offers: this.dispatch?.history ?? [],
      retry: this.dispatch?.account.retry,
      durationMs: this.options.clock.now() - this.startedAt,
      allowedMs: this.allowedMs,
    });
  }
}
