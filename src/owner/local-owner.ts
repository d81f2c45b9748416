/** The owner of the back end on this machine: admits tasks, sends them, and reports its load. */
import { afterPoll } from '../model/readBarrier.js';
import { QuarantineStatus } from '../quarantine/crashTracker.js';
import type { Heartbeat } from '../registry/back-end-registry.js';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import { UNCONDITIONAL_PERMIT } from '../rollout/runLimiter.js';
import { AdmissionControl } from './admission-control.js';
import type { AdmissionRequest } from './admissionRequest.js';
import { type AdmittedTasks, createAdmittedTasks } from './admittedTasks.js';
import { BackEndPresence } from './back-end-presence.js';
import { createBackEndLimit } from './backEndLimit.js';
import { type BackEndObservations, createBackEndObservations } from './backEndObservations.js';
import { type BackEndSender, createBackEndSender } from './backEndSender.js';
import { type CallRouteDetector, createCallRouteDetector } from './callRouteDetector.js';
import { createLimitedStarts, type LimitedStarts } from './limitedStarts.js';
import type { LocalOwnerOptions } from './localOwnerOptions.js';
import { createMonitoredCalls, type MonitoredCalls } from './monitoredCalls.js';
import { createNoticeHandler, type NoticeHandler, NoticeSource } from './noticeHandler.js';
import { whenEnded } from './outcomeEnd.js';
import {
  crashKeyOf,
  createRejection,
  type NotRunReason,
  type Owner,
  type OwnerOutcome,
  type OwnerTask,
} from './owner.js';
import { type OwnerReport, ownerReportOf } from './owner-report.js';
import { waitForSlot } from './slotWait.js';
import { type TaskTimes, taskRecordOf } from './taskRecord.js';

/** Retry delay in milliseconds if a roll-out grants no permit; other owners can serve at once. */
const NO_PERMIT_RETRY_MS = 20;

/** A node has one. */
export class LocalOwner implements Owner {
  private readonly admission: AdmissionControl;
  private readonly presence: BackEndPresence;
  private readonly callRoutes: CallRouteDetector;
  private readonly observations: BackEndObservations;
  private readonly calls: MonitoredCalls;
  private readonly sender: BackEndSender;
  private readonly limit = createBackEndLimit();
  private readonly notices: NoticeHandler;
  private readonly limitedStarts: LimitedStarts;
  private readonly admitted: AdmittedTasks;
  private stopping = false;

  constructor(private readonly options: LocalOwnerOptions) {
    this.callRoutes = createCallRouteDetector(options.nodesByService);
    this.observations = createBackEndObservations(options);
    this.admission = new AdmissionControl(this.observations.times, options.tenantShare, this.limit);
    this.limitedStarts = createLimitedStarts({
      ...options,
      admission: this.admission,
      limit: this.limit,
    });
    this.calls = createMonitoredCalls(options);
    this.presence = new BackEndPresence(options, {
      onNewIncarnation: (incarnation) => this.onNewIncarnation(incarnation),
      onReady: ({ slots }) => this.admission.setSlots(slots, options.clock.now()),
      onHealthNotice: (notice, incarnation) =>
        this.notices.handle(notice, incarnation, NoticeSource.Health),
      onUnavailable: () => this.admission.rejectAllWaiting(),
      onChange: (backEnd, cause) => options.onBackEnd(backEnd, cause),
    });
    this.notices = createNoticeHandler({
      ...options,
      limit: this.limit,
      currentIncarnation: () => this.presence.backEnd,
      onLoad: (load) => this.observations.noteLoad(load),
      onLeaving: (incarnation) => this.presence.noteLeaving(incarnation),
      onNoticeChange: (change) => {
        options.onNoticeChange(change);
        this.limitedStarts.update();
      },
    });
    this.sender = createBackEndSender({
      ...options,
      calls: this.calls,
      observations: this.observations,
      currentBackEnd: () => this.presence.backEnd,
      onNotice: this.notices.handle,
      onUnreachable: (incarnation) => this.presence.noteUnreachable(incarnation),
    });
    const { admission, observations, limit, limitedStarts, sender } = this;
    this.admitted = createAdmittedTasks({
      ...options,
      admission,
      observations,
      limit,
      limitedStarts,
      sender,
      currentBackEnd: () => this.presence.backEnd,
      rejectionReason: (task, request) => this.rejectionReasonAfterAdmission(task, request),
    });
  }

  /** Service times are kept: they depend on the service's requests and on this machine. */
  private onNewIncarnation(incarnation: BackEndIncarnation): void {
    this.observations.reset();
    this.sender.reset();
    this.limit.reset();
    this.notices.reset();
    this.calls.noteIncarnation(incarnation);
  }

  /** Starts the health checks that find the back end. */
  start(): void {
    this.presence.start();
  }

  /** Checks the health if needed, as its path may be known now. */
  noteConfiguration(): void {
    this.presence.checkHealthIfNeeded();
  }

  /** Rejects new and waiting tasks from now on. Running tasks continue. */
  stopAdmitting(): void {
    this.stopping = true;
    this.admission.rejectAllWaiting();
  }

  /** Stops the timers and closes the connections. */
  close(): void {
    this.presence.stop();
    this.limitedStarts.stop();
    this.sender.close();
  }

  /** True if the back end has reported that it drains. */
  get isDraining(): boolean {
    return this.presence.isDraining;
  }

  get report(): OwnerReport {
    const { presence, admission, observations, limit } = this;
    const { clock, callRates } = this.options;
    const ready = this.rejectionReason() === undefined;
    const now = clock.now();
    return ownerReportOf({ presence, admission, observations, limit, callRates, ready, now });
  }

  /**
   * Applies a heartbeat. If it reports a drain, new tasks are already rejected when this returns.
   * False if the heartbeat is ignored.
   */
  heartbeat(beat: Heartbeat): boolean {
    return this.presence.heartbeat(beat);
  }

  /** Applies a deregistration: new tasks are already rejected when this returns. */
  deregister(incarnation: BackEndIncarnation): void {
    this.presence.deregister(incarnation);
  }

  async run(task: OwnerTask): Promise<OwnerOutcome> {
    const times: TaskTimes = { arrivedAt: this.options.clock.now() };
    const outcome = await this.admitAndRun(task, times);
    const instance = this.presence.backEnd?.instance;
    const isCall = this.callRoutes.isCallRoute(task.route);
    times.outcomeAt = this.options.clock.now();
    whenEnded(outcome, (finalOutcome) => {
      const now = this.options.clock.now();
      this.options.onTask(
        taskRecordOf({ task, outcome, finalOutcome, times, instance, isCall, now }),
      );
    });
    return isCall ? { ...outcome, isCall } : outcome;
  }

  private async admitAndRun(task: OwnerTask, times: TaskTimes): Promise<OwnerOutcome> {
    const reason = this.rejectionReasonFor(task);
    if (reason) {
      return createRejection(reason);
    }
    const { acquirePermit = () => UNCONDITIONAL_PERMIT } = this.options;
    const permit = acquirePermit();
    if (!permit) {
      return createRejection('busy', NO_PERMIT_RETRY_MS);
    }
    const outcome = await this.admit(task, times);
    whenEnded(outcome, () => permit.finish(outcome.kind !== 'not-run' || outcome.arrived));
    return outcome;
  }

  private async admit(task: OwnerTask, times: TaskTimes): Promise<OwnerOutcome> {
    const { clock } = this.options;
    this.callRoutes.noteRequest(task.route, task.callerService);
    const { route, tenant, priority, targetAt, deadlineAt, mayWait } = task;
    const request: AdmissionRequest = {
      route,
      tenant,
      priority,
      targetAt,
      deadlineAt,
      mayWait,
      isExclusive: this.quarantineStatusOf(task) === QuarantineStatus.Suspect,
      isCall: this.callRoutes.isCallRoute(route),
    };
    const decision = this.admission.decide(request, clock.now());
    if (decision.kind === 'busy') {
      return createRejection(decision.reason, decision.retryAfterMs);
    }
    if (decision.kind === 'wait') {
      const waiting = waitForSlot(task, request, {
        ...this.options,
        admission: this.admission,
        rejectionReason: () => this.rejectionReason(),
      });
      this.limitedStarts.update();
      const rejection = await waiting;
      if (rejection) {
        return rejection;
      }
      // Its cancellation may have arrived together with the answer that freed the slot.
      await afterPoll();
    } else {
      this.admission.noteStarted(request, clock.now());
    }
    return this.admitted.run(task, request, times);
  }

  private quarantineStatusOf(task: OwnerTask): QuarantineStatus {
    const { ledger, clock } = this.options;
    return ledger.statusOf(crashKeyOf(task), clock.now());
  }

  private rejectionReasonFor(task: OwnerTask): NotRunReason | undefined {
    if (task.cancellation.cancelled) {
      return 'cancelled';
    }
    return this.rejectionReason() ?? this.taskRejectionReason(task);
  }

  /** An admitted task may still start for a while after a drain was acknowledged. */
  private rejectionReasonAfterAdmission(
    task: OwnerTask,
    { isExclusive }: AdmissionRequest,
  ): NotRunReason | undefined {
    if (task.cancellation.cancelled) {
      return 'cancelled';
    }
    if (this.quarantineStatusOf(task) === QuarantineStatus.Suspect && !isExclusive) {
      return 'suspect';
    }
    return this.presence.sendRejectionReason() ?? this.taskRejectionReason(task);
  }

  private taskRejectionReason(task: OwnerTask): NotRunReason | undefined {
    if (this.presence.backEnd?.service !== task.service) {
      return 'other-service';
    }
    if (this.quarantineStatusOf(task) === QuarantineStatus.Quarantined) {
      return 'quarantined';
    }
    return this.options.clock.now() >= task.deadlineAt ? 'expired' : undefined;
  }

  private rejectionReason(): NotRunReason | undefined {
    return this.stopping ? 'stopping' : this.presence.rejectionReason();
  }
}
