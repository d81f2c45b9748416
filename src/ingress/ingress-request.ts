/** Serves one client's request, from its head to the end of its answer. */
import type http from 'node:http';
import { Cancellation } from '../owner/cancellation.js';
import type { MessageBody } from '../owner/message-body.js';
import { whenEnded } from '../owner/outcomeEnd.js';
import type { OwnerTask } from '../owner/owner.js';
import type { MeshRoute } from '../routing/mesh-configuration.js';
import type { MatchedRoute } from '../routing/route-matcher.js';
import { type AnswerDelivery, createAnswerDelivery } from './answerDelivery.js';
import { type AnswerPlace, type AnswerWriter, createAnswerWriter } from './answerWriter.js';
import type { ClientRefusal } from './client-answer.js';
import type { ClientAccess } from './clientAccess.js';
import { Dispatch } from './dispatch.js';
import type { IngressOptions } from './ingressOptions.js';
import { ownerTaskOf } from './ownerTask.js';
import type { Departure } from './pipelines.js';
import {
  createRequestAdmission,
  type ReadRequest,
  type RequestAdmission,
} from './requestAdmission.js';
import {
  createRequestEnd,
  type Decision,
  type EndedRequest,
  type RequestEnd,
} from './requestEnd.js';
import { type AnswerBreak, RequestEnding } from './requestRecord.js';
import { createRequestTenant, type RequestTenant } from './requestTenant.js';
import { timeLimitOf } from './timeLimit.js';

/** The request and the dependencies on the node. */
export interface IngressRequestContext {
  readonly options: IngressOptions;
  readonly access: ClientAccess;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly place: AnswerPlace;
  /** Steady time in milliseconds at which a planned stop would cut the request off. */
  readonly latestEnd: number;
  /** Called once, when the answer has been sent to its end or cut, or the client has left. */
  readonly onEnded: () => void;
}

/** One client's request. */
export class IngressRequest {
  private readonly options: IngressOptions;
  private readonly access: ClientAccess;
  private readonly request: http.IncomingMessage;
  private readonly response: http.ServerResponse;
  private readonly place: AnswerPlace;
  private readonly cancellation = new Cancellation();
  private readonly startedAt: number;
  private readonly requestId: string;
  private readonly tenant: RequestTenant;
  private readonly admission: RequestAdmission;
  private fingerprint = '';
  private allowedMs = 0;
  private dispatch: Dispatch | undefined;
  private cancelTimer: () => void = () => {};
  private readonly end: RequestEnd;
  private readonly writer: AnswerWriter;
  private readonly delivery: AnswerDelivery;
  /** Resolves when the refusal, if there is one, has been written. */
  private refusalWritten: Promise<void> = Promise.resolve();

  constructor(context: IngressRequestContext) {
    const { options, access, request, response, place, onEnded } = context;
    this.options = options;
    this.access = access;
    this.request = request;
    this.response = response;
    this.place = place;
    this.startedAt = options.clock.now();
    const idName = options.names.requestId;
    const id = request.headers[idName.toLowerCase()];
    this.requestId = typeof id === 'string' ? id : '';
    const idField = this.requestId === '' ? [] : [idName, this.requestId];
    this.writer = createAnswerWriter({ request, response, idField, place });
    this.end = createRequestEnd({
      response,
      onDecided: (decision) => this.onDecided(decision),
      onEnded: (ended) => {
        this.onEnded(ended);
        onEnded();
      },
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
    this.admission = createRequestAdmission({
      ...context,
      tenant: this.tenant,
      startTimer: (route) => this.startTimer(route),
      isOver: () => this.end.isDecided || this.end.hasEnded,
    });
  }

  /** Resolves when the answer has been passed on. */
  async run(): Promise<void> {
    this.request.on('error', () => {});
    this.response.on('error', () => {});
    const admitted = await this.admission.admit();
    if (admitted && 'refusal' in admitted) {
      this.refuse(admitted.refusal, admitted.mustClose);
    } else if (admitted) {
      await this.bringToOwner(admitted);
    }
    await this.refusalWritten;
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

  private taskOf(matched: MatchedRoute, body: MessageBody): OwnerTask {
    const { tenant, hasTenants } = this.tenant;
    const task = ownerTaskOf({
      request: this.request,
      requestId: this.requestId,
      matched,
      body,
      reserved: this.access.reservedFields(hasTenants),
      service: this.admission.service,
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
  private startTimer(route: MeshRoute): number {
    const deadlineField = this.options.names.deadline.toLowerCase();
    const { allowedMs, code } = timeLimitOf(this.request, deadlineField, route);
    this.allowedMs = allowedMs;
    this.cancelTimer = this.options.timers.set(() => this.onTimeUp(code), allowedMs);
    return this.startedAt + allowedMs;
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
      // The connection can serve another request when this one has been read.
      this.request.resume();
      this.refusalWritten = this.writeRefusal(refusal, mustClose);
    }
  }

  private async writeRefusal(refusal: ClientRefusal, mustClose: boolean): Promise<void> {
    if (await this.place.turn()) {
      this.writer.refuse(refusal, mustClose);
    }
  }

  /** Ends the request, so that its client sees that the answer is cut. */
  breakOff(reason: AnswerBreak): void {
    this.end.breakOff(reason);
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
    const { route, service, version } = this.admission;
    this.options.onFinished({
      requestId: this.requestId,
      fingerprint: this.fingerprint,
      route: route?.name ?? '',
      service,
      tenant: tenant?.name,
      quota,
      version,
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
