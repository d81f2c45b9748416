/** The gate to the back end on this machine: admits tasks, sends them, and reports its load. */
import type http from 'node:http';
import { QuarantineStatus } from '../quarantine/crashTracker.js';
import type { BackEnd, Heartbeat } from '../registry/back-end-registry.js';
import type { BackEndIncarnation } from '../registry/backEndIncarnation.js';
import { UNCONDITIONAL_PERMIT } from '../rollout/runLimiter.js';
import { AdmissionControl, type AdmissionRequest } from './admission-control.js';
import { BackEndPresence } from './back-end-presence.js';
import { BackEndConnections } from './backEndConnections.js';
import {
  type BackEndObservations,
  createBackEndObservations,
  type ObservedRun,
} from './backEndObservations.js';
import { backEndRunOf, type EndedCall } from './backEndRun.js';
import { createCallRouteDetector } from './callRouteDetector.js';
import type { LocalOwnerOptions } from './localOwnerOptions.js';
import type { MessageBody } from './message-body.js';
import { createMonitoredCalls, type MonitoredCalls } from './monitoredCalls.js';
import {
  crashKeyOf,
  createRejection,
  type NotRunReason,
  type Owner,
  type OwnerOutcome,
  type OwnerTask,
} from './owner.js';
import type { OwnerReport } from './owner-report.js';
import { waitForSlot } from './slotWait.js';
import { type TaskTimes, taskRecordOf } from './taskRecord.js';

/** After a late or foreign answer, connections are not kept for this long, in milliseconds. */
const DISTRUST_MS = 10_000;

/** A task that is cancelled so shortly before its deadline, in milliseconds, was waited for to its end. */
const DEADLINE_SLACK_MS = 50;

/** Told to a task that comes although a roll-out gives the back end nothing new: others serve it at once. */
const FENCED_RETRY_MS = 20;

/** One per node. */
export class LocalOwner implements Owner {
  private readonly admission: AdmissionControl;
  private readonly presence: BackEndPresence;
  private readonly connections = new BackEndConnections();
  private readonly callRoutes = createCallRouteDetector();
  private readonly observations: BackEndObservations;
  private readonly calls: MonitoredCalls;
  private stopping = false;
  private noReuseUntil = 0;

  constructor(private readonly options: LocalOwnerOptions) {
    this.observations = createBackEndObservations(options);
    this.admission = new AdmissionControl(this.observations.times, options.tenantShare);
    this.calls = createMonitoredCalls(options);
    this.presence = new BackEndPresence(options, {
      onNewIncarnation: (life) => this.onNewIncarnation(life),
      onReady: ({ slots }) => this.admission.setSlots(slots, options.clock.now()),
      onUnavailable: () => this.admission.rejectAllWaiting(),
      onChange: (backEnd, cause) => options.onBackEnd(backEnd, cause),
    });
  }

  /** What is known of the service's times stays: they are those of its requests, on this machine. */
  private onNewIncarnation(life: BackEndIncarnation): void {
    this.observations.reset();
    this.connections.reset();
    this.calls.noteIncarnation(life);
  }

  /** Begins to look for the back end. */
  start(): void {
    this.presence.start();
  }

  /** The path of the health question may be known now. */
  noteConfiguration(): void {
    this.presence.checkHealthIfNeeded();
  }

  /** Turns new tasks away from now on; tasks that run go on. */
  stopAdmitting(): void {
    this.stopping = true;
    this.admission.rejectAllWaiting();
  }

  /** Closes what is left open. */
  close(): void {
    this.presence.stop();
    this.connections.close();
  }

  /** True when the back end has said that it leaves. */
  get isDraining(): boolean {
    return this.presence.isDraining;
  }

  get report(): OwnerReport {
    return {
      service: this.presence.backEnd?.service,
      ready: this.rejectionReason() === undefined,
      inFlight: this.admission.inFlight,
      queued: this.admission.queued,
      slots: this.admission.capacity,
      meanServiceMs: this.admission.meanServiceMs,
      failureShare: this.observations.failureShare,
      backEndVersion: this.presence.backEnd?.version,
      bornAt: this.presence.backEnd?.bornAt,
      slowness: this.observations.slowness,
      waiting: this.observations.waiting,
    };
  }

  /** Takes a heartbeat; the drain it tells is fenced before this returns. False if it is not used. */
  heartbeat(beat: Heartbeat): boolean {
    return this.presence.heartbeat(beat);
  }

  /** Takes a deregistration; it is fenced before this returns. */
  deregister(life: BackEndIncarnation): void {
    this.presence.deregister(life);
  }

  async run(task: OwnerTask): Promise<OwnerOutcome> {
    const times: TaskTimes = { arrivedAt: this.options.clock.now() };
    const outcome = await this.admitAndRun(task, times);
    const instance = this.presence.backEnd?.instance;
    const isCall = this.callRoutes.isCallRoute(task.route);
    const now = this.options.clock.now();
    this.options.onTask(taskRecordOf({ task, outcome, times, instance, isCall, now }));
    return outcome;
  }

  private async admitAndRun(task: OwnerTask, times: TaskTimes): Promise<OwnerOutcome> {
    const obstacle = this.rejectionReasonFor(task);
    if (obstacle) {
      return createRejection(obstacle);
    }
    const { acquirePermit = () => UNCONDITIONAL_PERMIT } = this.options;
    const passage = acquirePermit();
    if (!passage) {
      return createRejection('busy', FENCED_RETRY_MS);
    }
    const outcome = await this.admit(task, times);
    passage.finish(outcome.kind !== 'not-run' || outcome.arrived);
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
      isExclusive: this.standingOf(task) === QuarantineStatus.Suspect,
      isCall: this.callRoutes.isCallRoute(route),
    };
    const decision = this.admission.decide(request, clock.now());
    if (decision.kind === 'busy') {
      return createRejection('busy', decision.retryAfterMs);
    }
    if (decision.kind === 'wait') {
      const refused = await waitForSlot(task, request, {
        ...this.options,
        admission: this.admission,
        rejectionReason: () => this.rejectionReason(),
      });
      if (refused) {
        return refused;
      }
    } else {
      this.admission.noteStarted(request, clock.now());
    }
    return this.runAdmitted(task, request, times);
  }

  private standingOf(task: OwnerTask): QuarantineStatus {
    const { ledger, clock } = this.options;
    return ledger.statusOf(crashKeyOf(task), clock.now());
  }

  private async runAdmitted(
    task: OwnerTask,
    request: AdmissionRequest,
    times: TaskTimes,
  ): Promise<OwnerOutcome> {
    const { clock } = this.options;
    times.admittedAt = clock.now();
    let outcome: OwnerOutcome = createRejection('cancelled');
    let run: ObservedRun | undefined;
    try {
      task.onProgress('admitted');
      const body = await task.loadBody();
      const obstacle = this.rejectionReasonAfterAdmission(task, request);
      if (obstacle) {
        outcome = createRejection(obstacle);
        return outcome;
      }
      times.sentAt = clock.now();
      run = this.observations.begin(task, this.admission.capacity);
      outcome = await this.send(task, body);
      return outcome;
    } catch {
      // The body broke off before anything was sent to the back end.
      return outcome;
    } finally {
      const observed = run?.end(outcome);
      this.admission.noteFinished(request, observed?.serviceMs, clock.now(), observed?.slowness);
    }
  }

  private async send(task: OwnerTask, body: MessageBody): Promise<OwnerOutcome> {
    const { clock, names } = this.options;
    const backEnd = this.presence.backEnd as BackEnd;
    const sentAt = clock.now();
    const { outcome, unreachable, wasReusedConnectionSilent, load } = await this.calls.call(
      task,
      body,
      {
        backEnd,
        names,
        agent: this.agentFor(task),
        remainingMs: task.deadlineAt - clock.now(),
      },
    );
    // Other programs on its machine are not the fault of its version.
    const tookMs = (clock.now() - sentAt) / Math.max(1, this.observations.slowness);
    this.noteRun({ task, backEnd, outcome, tookMs });
    if (load) {
      this.observations.noteLoad(load);
    }
    if (unreachable) {
      this.presence.noteUnreachable(backEnd);
    }
    if (wasReusedConnectionSilent && clock.now() >= task.deadlineAt - DEADLINE_SLACK_MS) {
      this.connections.closeIdle();
    }
    if (outcome.kind === 'unknown' && outcome.reason === 'foreign-answer') {
      this.noReuseUntil = clock.now() + DISTRUST_MS;
    }
    return outcome;
  }

  private noteRun(call: Omit<EndedCall, 'currentBackEnd' | 'now'>): void {
    const now = this.options.freshnessClock.now();
    const run = backEndRunOf({ ...call, currentBackEnd: this.presence.backEnd, now });
    if (run) {
      this.options.onRun?.(run);
    }
  }

  /** What may not be repeated gets a connection of its own while late answers are about. */
  private agentFor(task: OwnerTask): http.Agent {
    const mayReuse = task.repeatable || this.options.clock.now() >= this.noReuseUntil;
    return this.connections.agentFor(mayReuse);
  }

  private rejectionReasonFor(task: OwnerTask): NotRunReason | undefined {
    return this.rejectionReason() ?? this.mismatch(task);
  }

  /** A task that was admitted may still begin for a while after a drain was acknowledged. */
  private rejectionReasonAfterAdmission(
    task: OwnerTask,
    { isExclusive }: AdmissionRequest,
  ): NotRunReason | undefined {
    if (task.cancellation.cancelled) {
      return 'cancelled';
    }
    if (this.standingOf(task) === QuarantineStatus.Suspect && !isExclusive) {
      return 'suspect';
    }
    return this.presence.sendRejectionReason() ?? this.mismatch(task);
  }

  private mismatch(task: OwnerTask): NotRunReason | undefined {
    if (this.presence.backEnd?.service !== task.service) {
      return 'other-service';
    }
    if (this.standingOf(task) === QuarantineStatus.Quarantined) {
      return 'quarantined';
    }
    return this.options.clock.now() >= task.deadlineAt ? 'expired' : undefined;
  }

  private rejectionReason(): NotRunReason | undefined {
    return this.stopping ? 'stopping' : this.presence.rejectionReason();
  }
}
