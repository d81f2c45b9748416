/**
 * The gate to the back end on this machine: admits tasks, fences drains, checks
 * the incarnation, and asks the back end's health when its state is not known.
 */
import type { Clock } from '../model/clock.js';
import { BackEndConnections } from '../proxy/back-end-agent.js';
import { type BackEnd, BackEndRegistry, type Heartbeat } from '../registry/back-end-registry.js';
import { AdmissionControl, type Waiter } from './admission-control.js';
import { callBackEnd } from './back-end-call.js';
import type { HeaderNames } from './header-names.js';
import { askHealth } from './health-question.js';
import {
  type NotRunReason,
  type Owner,
  type OwnerOutcome,
  type OwnerTask,
  turnedAway,
} from './owner.js';

/** Time between two health questions while the back end's state is not known, in milliseconds. */
const HEALTH_INTERVAL_MS = 700;

/** After a late or foreign answer, connections are not kept for this long, in milliseconds. */
const DISTRUST_MS = 10_000;

/** Share of a drain's bound within which tasks that wait may still begin. */
const DRAIN_QUEUE_SHARE = 0.4;

/** Share of a drain's bound within which tasks that were admitted may still be sent. */
const DRAIN_SEND_SHARE = 0.75;

/** What the local owner is told at its start. */
export interface LocalOwnerOptions {
  readonly clock: Clock;
  readonly names: HeaderNames;
  /** Service that the settings name for this machine. */
  readonly service: () => string;
  readonly backEndAddress: () => string;
  /** Path of the health question, or undefined while no configuration is known. */
  readonly healthPath: (service: string) => string | undefined;
  /** Milliseconds after an acknowledged drain in which work may still begin. */
  readonly drainMs: () => number;
  readonly onBackEnd: (backEnd: BackEnd | undefined, cause: string) => void;
  readonly onTask: (record: TaskRecord) => void;
}

/** One task that has left this owner, for logs and metrics. */
export interface TaskRecord {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  /** Kind of the outcome, with its status or reason. */
  readonly result: string;
  readonly instance: string | undefined;
  readonly queuedMs: number;
  /** Undefined when nothing was sent to the back end. */
  readonly backEndMs: number | undefined;
}

/** What others may know of this owner. */
export interface OwnerReport {
  readonly service: string | undefined;
  readonly ready: boolean;
  readonly inFlight: number;
  readonly queued: number;
  readonly slots: number;
  /** Milliseconds; undefined until the back end has finished a task. */
  readonly meanServiceMs: number | undefined;
}

/** Steady times of one task, in milliseconds. */
interface TaskTimes {
  readonly arrivedAt: number;
  admittedAt?: number;
  sentAt?: number;
}

/** One per node. */
export class LocalOwner implements Owner {
  private readonly admission = new AdmissionControl();
  private readonly registry: BackEndRegistry;
  private connections = new BackEndConnections();
  private unreachable = false;
  private stopping = false;
  private distrustUntil = 0;
  /** Steady time in milliseconds after which nothing may be sent to a back end that leaves. */
  private sendUntil = Number.POSITIVE_INFINITY;
  private asking = false;
  private timer: NodeJS.Timeout | undefined;
  private fence: NodeJS.Timeout | undefined;

  constructor(private readonly options: LocalOwnerOptions) {
    this.registry = new BackEndRegistry((backEnd) => this.onBackEnd(backEnd));
  }

  /** Begins to look for the back end. */
  start(): void {
    this.timer = setInterval(() => this.askIfNeeded(), HEALTH_INTERVAL_MS);
    this.askIfNeeded();
  }

  /** Turns new tasks away from now on; tasks that run go on. */
  stopAdmitting(): void {
    this.stopping = true;
    this.admission.turnAllAway();
  }

  /** Closes what is left open. */
  close(): void {
    clearInterval(this.timer);
    clearTimeout(this.fence);
    this.connections.close();
  }

  /** True when the back end has said that it leaves. */
  get isLeaving(): boolean {
    return this.registry.current?.state === 'draining';
  }

  get report(): OwnerReport {
    const backEnd = this.registry.current;
    return {
      service: backEnd?.service,
      ready: this.obstacle() === undefined,
      inFlight: this.admission.inFlight,
      queued: this.admission.queued,
      slots: this.admission.capacity,
      meanServiceMs: this.admission.meanServiceMs,
    };
  }

  /** Takes a heartbeat; the drain it tells is fenced before this returns. */
  heartbeat(beat: Heartbeat): void {
    const result = this.registry.heartbeat(beat, this.options.clock.now());
    if (result === 'unverified') {
      this.askIfNeeded();
    } else if (result === 'applied' && beat.instance === this.registry.current?.instance) {
      this.setReachable(true);
    }
  }

  /** Takes a deregistration; it is fenced before this returns. */
  deregister(instance: string): void {
    this.registry.deregister(instance);
  }

  async run(task: OwnerTask): Promise<OwnerOutcome> {
    const times: TaskTimes = { arrivedAt: this.options.clock.now() };
    const outcome = await this.admitAndRun(task, times);
    const { arrivedAt, admittedAt, sentAt } = times;
    const now = this.options.clock.now();
    this.options.onTask({
      requestId: task.requestId,
      route: task.route,
      service: task.service,
      result:
        outcome.kind === 'answer'
          ? `answer ${outcome.status}`
          : `${outcome.kind} ${outcome.reason}`,
      instance: this.registry.current?.instance,
      queuedMs: Math.round((admittedAt ?? now) - arrivedAt),
      backEndMs: sentAt === undefined ? undefined : Math.round(now - sentAt),
    });
    return outcome;
  }

  private async admitAndRun(task: OwnerTask, times: TaskTimes): Promise<OwnerOutcome> {
    const obstacle = this.obstacleFor(task);
    if (obstacle) {
      return turnedAway(obstacle);
    }
    const { clock } = this.options;
    const decision = this.admission.decide(task, clock.now());
    if (decision.kind === 'busy') {
      return turnedAway('busy', decision.retryAfterMs);
    }
    if (decision.kind === 'wait') {
      const refused = await this.wait(task);
      if (refused) {
        return refused;
      }
    } else {
      this.admission.started();
    }
    return this.runAdmitted(task, times);
  }

  /** Resolves with undefined when the task holds a slot. */
  private wait(task: OwnerTask): Promise<OwnerOutcome | undefined> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        request: task,
        since: this.options.clock.now(),
        admit: () => {
          this.admission.started();
          forget();
          resolve(undefined);
        },
        turnAway: (retryAfterMs) => {
          forget();
          resolve(turnedAway(this.obstacle() ?? 'busy', retryAfterMs));
        },
      };
      const forget = task.cancellation.onCancel(() => {
        this.admission.remove(waiter);
        resolve(turnedAway('cancelled'));
      });
      this.admission.enqueue(waiter);
      task.onProgress('queued');
    });
  }

  private async runAdmitted(task: OwnerTask, times: TaskTimes): Promise<OwnerOutcome> {
    const { clock } = this.options;
    times.admittedAt = clock.now();
    let outcome: OwnerOutcome = turnedAway('cancelled');
    try {
      task.onProgress('admitted');
      const body = await task.loadBody();
      const obstacle = this.obstacleAfterAdmission(task);
      if (obstacle) {
        outcome = turnedAway(obstacle);
        return outcome;
      }
      times.sentAt = clock.now();
      outcome = await this.send(task, body);
      return outcome;
    } catch {
      // The body broke off before anything was sent to the back end.
      return outcome;
    } finally {
      const { sentAt } = times;
      const tells = sentAt !== undefined && outcome.kind === 'answer';
      const serviceMs = tells ? clock.now() - sentAt : undefined;
      this.admission.finished(task.route, serviceMs, clock.now());
    }
  }

  private async send(task: OwnerTask, body: Parameters<typeof callBackEnd>[1]) {
    const { clock, names } = this.options;
    const backEnd = this.registry.current as BackEnd;
    const mayReuse = task.repeatable || clock.now() >= this.distrustUntil;
    const result = await callBackEnd(task, body, {
      backEnd,
      names,
      agent: this.connections.agentFor(mayReuse),
      remainingMs: task.deadlineAt - clock.now(),
    });
    if (result.unreachable && backEnd === this.registry.current) {
      this.setReachable(false);
    }
    if (result.outcome.kind === 'unknown' && result.outcome.reason === 'foreign-answer') {
      this.distrustUntil = clock.now() + DISTRUST_MS;
    }
    return result.outcome;
  }

  private obstacleFor(task: OwnerTask): NotRunReason | undefined {
    const obstacle = this.obstacle();
    if (obstacle) {
      return obstacle;
    }
    if (this.registry.current?.service !== task.service) {
      return 'other-service';
    }
    return this.options.clock.now() >= task.deadlineAt ? 'expired' : undefined;
  }

  /** A task that was admitted may still begin for a while after a drain was acknowledged. */
  private obstacleAfterAdmission(task: OwnerTask): NotRunReason | undefined {
    if (task.cancellation.cancelled) {
      return 'cancelled';
    }
    if (this.registry.current?.service !== task.service) {
      return 'other-service';
    }
    const now = this.options.clock.now();
    if (now >= this.sendUntil) {
      return 'draining';
    }
    return now >= task.deadlineAt ? 'expired' : undefined;
  }

  private obstacle(): NotRunReason | undefined {
    if (this.stopping) {
      return 'stopping';
    }
    const backEnd = this.registry.current;
    if (!backEnd || this.unreachable) {
      return 'no-back-end';
    }
    return backEnd.state === 'draining' ? 'draining' : undefined;
  }

  private setReachable(reachable: boolean): void {
    if (this.unreachable !== reachable) {
      return;
    }
    this.unreachable = !reachable;
    this.options.onBackEnd(this.registry.current, reachable ? 'reachable' : 'unreachable');
    if (!reachable) {
      this.admission.turnAllAway();
    }
  }

  private onBackEnd(backEnd: BackEnd | undefined): void {
    const { clock, drainMs, onBackEnd } = this.options;
    clearTimeout(this.fence);
    if (backEnd?.state === 'draining') {
      this.fence = setTimeout(() => this.admission.turnAllAway(), drainMs() * DRAIN_QUEUE_SHARE);
      this.sendUntil = clock.now() + drainMs() * DRAIN_SEND_SHARE;
    } else {
      this.sendUntil = Number.POSITIVE_INFINITY;
      this.unreachable = false;
      this.connections.close();
      this.connections = new BackEndConnections();
      this.admission.setSlots(backEnd?.slots ?? 0, clock.now());
    }
    onBackEnd(backEnd, backEnd?.state ?? 'none');
  }

  /** Asks the back end who it is while that is not known. */
  private askIfNeeded(): void {
    const { current, unverified } = this.registry;
    const isKnown = current !== undefined && !this.unreachable && unverified === undefined;
    const service = unverified?.service ?? this.options.service();
    const path = this.options.healthPath(service);
    if (isKnown || this.asking || this.stopping || path === undefined) {
      return;
    }
    this.asking = true;
    const address = unverified?.address ?? this.options.backEndAddress();
    void askHealth(address, path, this.options.names)
      .then((report) => {
        if (report) {
          this.onHealth(report, service, address);
        }
      })
      .finally(() => {
        this.asking = false;
      });
  }

  private onHealth(
    report: { instance: string; slots: number | undefined },
    service: string,
    address: string,
  ): void {
    if (report.instance === this.registry.current?.instance) {
      this.setReachable(true);
      return;
    }
    const wasAnnounced = report.instance === this.registry.unverified?.instance;
    if (this.registry.current && !wasAnnounced) {
      // The address may have gone to another service: only a heartbeat can tell.
      return;
    }
    const now = this.options.clock.now();
    const fallback = { service, address, state: 'ready', coldUntil: now, sequence: -1 } as const;
    this.registry.verified(report, fallback);
  }
}
