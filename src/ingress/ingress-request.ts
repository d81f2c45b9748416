/** Serves one client's request, from its head to the end of its answer. */
import type http from 'node:http';
import { afterPendingReads } from '../model/readBarrier.js';
import { Cancellation } from '../owner/cancellation.js';
import type { MessageBody } from '../owner/message-body.js';
import { whenEnded } from '../owner/outcomeEnd.js';
import type { OwnerTask } from '../owner/owner.js';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { MatchedRoute, RouteMatcher } from '../routing/route-matcher.js';
import { type AnswerDelivery, createAnswerDelivery } from './answerDelivery.js';
import { type AnswerPlace, type AnswerWriter, createAnswerWriter } from './answerWriter.js';
import type { ClientRefusal } from './client-answer.js';
import type { ClientAccess } from './clientAccess.js';
import { Dispatch } from './dispatch.js';
import type { IngressOptions } from './ingressOptions.js';
import { BEHIND, STOPPING } from './nodeRefusals.js';
import { ownerTaskOf } from './ownerTask.js';
import type { Departure } from './pipelines.js';
import { createPlacementFilter, type OwnerFilter } from './placementFilter.js';
import {
  createRequestEnd,
  type Decision,
  type EndedRequest,
  type RequestEnd,
} from './requestEnd.js';
import { hasBody, headBytes, readBody } from './requestMessage.js';
import { RequestEnding } from './requestRecord.js';
import { createRequestTenant, type RequestTenant } from './requestTenant.js';
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
  private readonly tenant: RequestTenant;
  private route: MeshRoute | undefined;
  private service = '';
  private fingerprint = '';
  private version = 0;
  private allowedMs = 0;
  private dispatch: Dispatch | undefined;
  private cancelTimer: () => void = () => {};
  private readonly end: RequestEnd;
  private readonly writer: AnswerWriter;
  private readonly delivery: AnswerDelivery;
  /** Resolves when the refusal, if there is one, has been written. */
  private refusalWritten: Promise<void> = Promise.resolve();

  constructor(
    private readonly options: IngressOptions,
    private readonly access: ClientAccess,
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    private readonly place: AnswerPlace,
  ) {
    this.startedAt = options.clock.now();
    const idName = options.names.requestId;
    const id = request.headers[idName.toLowerCase()];
    this.requestId = typeof id === 'string' ? id : '';
    const idField = this.requestId === '' ? [] : [idName, this.requestId];
    this.writer = createAnswerWriter({ request, response, idField, place });
    this.end = createRequestEnd({
      response,
      onDecided: (decision) => this.onDecided(decision),
      onEnded: (ended) => this.onEnded(ended),
    });
    const { clock, timers } = options;
    const { writer, end } = this;
    this.delivery = createAnswerDelivery({ clock, timers, place, writer, end });
    this.tenant = createRequestTenant({
      request,
      access,
      quotaGate: options.quotaGate,
      hasEnded: () => this.end.hasEnded,
    });
  }

  /**
   * Resolves when the answer has been passed on. `latestEnd` is the steady time in milliseconds at
   * which a planned stop would cut the request off.
   */
  async run(latestEnd: number): Promise<void> {
    this.request.on('error', () => {});
    this.response.on('error', () => {});
    const admitted = await this.admit(latestEnd);
    if (admitted) {
      await this.bringToOwner(admitted);
    }
    await this.refusalWritten;
  }

  /** Undefined if an answer has been decided on, or if the client has left. */
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
    const denied = this.tenant.check(routes, matched.route);
    if (denied) {
      return this.refuse(denied);
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
    const { tenant } = this.tenant;
    const overQuota = tenant && (await this.tenant.takeToken());
    if (overQuota) {
      return this.refuse(overQuota);
    }
    if (this.end.hasEnded) {
      return undefined;
    }
    const body = await readBody(this.request, routes.configuration.limits);
    // A client that has left may have done so together with the last of its request.
    await afterPendingReads();
    if (body === 'too-large') {
      return this.refuse({ code: 'too-large', status: 413 }, true);
    }
    if (!body || this.end.isDecided || this.end.hasEnded) {
      // The connection can serve another request when it has been read.
      this.request.resume();
      return undefined;
    }
    const deniedNow = this.recheckAccess(routes, matched.route);
    if (deniedNow) {
      return this.refuse(deniedNow);
    }
    // While the body arrived, the key may have been moved to another tenant.
    const isSameTenant = this.tenant.tenant?.name === tenant?.name;
    const placementNow = isSameTenant ? placement : this.placementFor(matched);
    // Never a refusal here, as the same path was accepted above.
    return { matched, body, mayServe: placementNow.orDefault(undefined) };
  }

  /** If there may be a newer configuration, it may have the route; 404 would then be wrong. */
  private noRoute(): ClientRefusal {
    return this.options.mayBeBehind() ? BEHIND : { code: 'no-route', status: 404 };
  }

  /** Checks the key again, as a new configuration may have revoked it while the body arrived. */
  private recheckAccess(earlierRoutes: RouteMatcher, route: MeshRoute): ClientRefusal | undefined {
    const routes = this.options.routes() ?? earlierRoutes;
    return hasBody(this.request) ? this.tenant.check(routes, route) : undefined;
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
    if (!('kind' in result)) {
      readAhead?.release();
      this.refuse(result);
      return;
    }
    // A back end may answer before it has read the whole body.
    whenEnded(result, () => readAhead?.release());
    const refusal = await this.delivery.deliver(result);
    if (refusal) {
      this.refuse(refusal);
    }
  }

  /** Owner filter of the route's policies. Undefined if none; Left if the path is ambiguous. */
  private placementFor(matched: MatchedRoute): ReturnType<typeof createPlacementFilter> {
    const { tenant, hasTenants } = this.tenant;
    const caller = { tenant: tenant?.name, hiddenFields: this.access.tenantFields(hasTenants) };
    return createPlacementFilter(
      this.request,
      matched,
      this.service,
      this.options.ownRecord(),
      caller,
    );
  }

  private taskOf(matched: MatchedRoute, body: MessageBody): OwnerTask {
    const { tenant, hasTenants } = this.tenant;
    const task = ownerTaskOf({
      request: this.request,
      requestId: this.requestId,
      matched,
      body,
      reserved: this.access.reservedFields(hasTenants),
      service: this.service,
      callerService: this.options.callerService(),
      tenant,
      startedAt: this.startedAt,
      allowedMs: this.allowedMs,
      cancellation: this.cancellation,
    });
    this.fingerprint = task.fingerprint;
    return task;
  }

  /** Limits the request to the client's deadline or the route's timeout, whichever is sooner. */
  private startTimer(route: MeshRoute): void {
    const deadlineField = this.options.names.deadline.toLowerCase();
    const { allowedMs, code } = timeLimitOf(this.request, deadlineField, route);
    this.allowedMs = allowedMs;
    this.cancelTimer = this.options.timers.set(() => this.onTimeUp(code), allowedMs);
  }

  private onTimeUp(code: 'timeout' | 'deadline'): void {
    this.delivery.onTimeUp();
    // A cancelled dispatch ends at once. Its refusal has the code `deadline` for the timeout too,
    // and a status that depends on whether the request may have run.
    this.cancellation.cancel();
    if (!this.dispatch) {
      this.refuse({ code, status: 503, retryAfterMs: 0 });
    }
  }

  /** `mustClose` is true if the connection cannot be used after the refusal. */
  private refuse(refusal: ClientRefusal, mustClose = false): undefined {
    if (!this.end.isDecided && !this.end.hasEnded) {
      this.end.decide(refusal.status, refusal.code);
      this.refusalWritten = this.writeRefusal(refusal, mustClose);
    }
  }

  private async writeRefusal(refusal: ClientRefusal, mustClose: boolean): Promise<void> {
    if (await this.place.turn()) {
      this.writer.refuse(refusal, mustClose);
    }
  }

  /** The client has left. */
  onDeparture(departure: Departure): void {
    this.end.noteDeparture(departure);
  }

  private onDecided({ status, code }: Decision): void {
    // Status 503 promises that the request has not run.
    if (!this.dispatch || (code !== RequestEnding.Answered && status === 503)) {
      this.tenant.refundToken();
    }
  }

  /** Reports the request. Cancels what still runs for it if the answer is not whole. */
  private onEnded({ status, code, brokenBy, departure }: EndedRequest): void {
    this.cancelTimer();
    this.delivery.stop();
    if (code === RequestEnding.ClientLeft || code === RequestEnding.Broken) {
      this.cancellation.cancel();
    }
    // Once the request has been offered, an owner may have it.
    if (code === RequestEnding.ClientLeft && !this.dispatch) {
      this.tenant.refundToken();
    }
    const { tenant, quota } = this.tenant;
    this.options.onFinished({
      requestId: this.requestId,
      fingerprint: this.fingerprint,
      route: this.route?.name ?? '',
      service: this.service,
      tenant: tenant?.name,
      quota,
      version: this.version,
      status,
      code,
      brokenBy,
      departure,
      offers: this.dispatch?.history ?? [],
      retry: this.dispatch?.account.retry,
      durationMs: this.options.clock.now() - this.startedAt,
      allowedMs: this.allowedMs,
    });
  }
}
