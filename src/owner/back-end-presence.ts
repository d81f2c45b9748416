/**
 * Decides whether the back end on this machine may receive tasks: follows its
 * registrations, enforces the time limits of its drain, and checks its health
 * while its state is unknown.
 */
import type { Clock } from '../model/clock.js';
import { type BackEnd, BackEndRegistry, type Heartbeat } from '../registry/back-end-registry.js';
import { type BackEndIncarnation, isSameIncarnation } from '../registry/backEndIncarnation.js';
import type { BackEndNotice } from './backEndNotice.js';
import type { HeaderNames } from './header-names.js';
import { checkHealth, type HealthAnswer } from './healthCheck.js';
import type { NotRunReason } from './owner.js';

/** Interval of health checks while the back end's state is unknown, in milliseconds. */
const HEALTH_INTERVAL_MS = 700;

/** Share of the drain time during which waiting tasks may still start. */
const DRAIN_QUEUE_SHARE = 0.4;

/** Share of the drain time during which admitted tasks may still be sent. */
const DRAIN_SEND_SHARE = 0.75;

/** The parts of the node that the presence uses. */
export interface BackEndPresenceOptions {
  /** Clock for the state of the back end and for the time limits of its drain. */
  readonly freshnessClock: Clock;
  readonly names: HeaderNames;
  /** Service that is set for this machine. */
  readonly service: () => string;
  readonly backEndAddress: () => string;
  /** Path of the health check. Undefined while no configuration is known. */
  readonly healthPath: (service: string) => string | undefined;
  /** True unless the configuration is known and has no such service. */
  readonly isServiceConfigured: (service: string) => boolean;
  /** Drain time: milliseconds after an acknowledged drain in which work may still start. */
  readonly drainMs: () => number;
}

/** Callbacks for changes of the back end. */
export interface BackEndPresenceListener {
  /** A new incarnation, of the same or another back end, is present. Called before the others. */
  onNewIncarnation(incarnation: BackEndIncarnation): void;
  /**
   * The back end is ready, with a new incarnation or another number of slots: tasks may be sent.
   */
  onReady(backEnd: BackEnd): void;
  /** Waiting tasks must not be sent any more. */
  onUnavailable(): void;
  /** A health answer reports something about the present incarnation. Called after it is confirmed. */
  onHealthNotice(notice: BackEndNotice, incarnation: BackEndIncarnation): void;
  /** The state of the back end has changed in any way that other nodes may need. */
  onChange(backEnd: BackEnd | undefined, cause: string): void;
}

/** A node has one. */
export class BackEndPresence {
  private readonly registry = new BackEndRegistry((backEnd, isNewIncarnation) =>
    this.onBackEnd(backEnd, isNewIncarnation),
  );
  private unreachable = false;
  /** Steady time in milliseconds from which nothing may be sent to a draining back end. */
  private sendUntil = Number.POSITIVE_INFINITY;
  private isCheckingHealth = false;
  private timer: NodeJS.Timeout | undefined;
  private drainTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly options: BackEndPresenceOptions,
    private readonly listener: BackEndPresenceListener,
  ) {}

  /** Starts the health checks that find the back end. */
  start(): void {
    this.timer = setInterval(() => this.checkHealthIfNeeded(), HEALTH_INTERVAL_MS);
    this.checkHealthIfNeeded();
  }

  stop(): void {
    clearInterval(this.timer);
    clearTimeout(this.drainTimer);
  }

  get backEnd(): BackEnd | undefined {
    return this.registry.current;
  }

  /** True if the back end has reported that it drains. */
  get isDraining(): boolean {
    return this.registry.current?.state === 'draining';
  }

  /** Why new tasks are rejected. Undefined if they are accepted. */
  rejectionReason(): NotRunReason | undefined {
    if (!this.backEnd || this.unreachable) {
      return 'no-back-end';
    }
    return this.isDraining ? 'draining' : undefined;
  }

  /** Why admitted tasks may not be sent any more. Undefined if they may be sent. */
  sendRejectionReason(): NotRunReason | undefined {
    return this.options.freshnessClock.now() >= this.sendUntil ? 'draining' : undefined;
  }

  /**
   * Applies a heartbeat. If it reports a drain, new tasks are already rejected when this returns.
   * Returns false and ignores the heartbeat if its service is neither that of the current back end
   * nor in the configuration: such a heartbeat must not replace a known back end.
   */
  heartbeat(beat: Heartbeat): boolean {
    if (beat.service !== this.backEnd?.service && !this.options.isServiceConfigured(beat.service)) {
      return false;
    }
    const result = this.registry.heartbeat(beat, this.options.freshnessClock.now());
    if (result === 'unverified') {
      this.checkHealthIfNeeded();
    } else if (result === 'applied' && this.isCurrent(beat)) {
      this.setReachable(true);
    }
    return true;
  }

  /** Applies a deregistration: new tasks are already rejected when this returns. */
  deregister(incarnation: BackEndIncarnation): void {
    this.registry.endIncarnation(incarnation);
  }

  /** Records that this incarnation has reported in an answer that it is leaving. */
  noteLeaving(incarnation: BackEndIncarnation): void {
    if (this.isCurrent(incarnation) && !this.isDraining) {
      this.registry.endIncarnation(incarnation);
    }
  }

  /**
   * Records that this incarnation's address refused a connection or did not accept one in time.
   * Ignored if a later incarnation is already present.
   */
  noteUnreachable(incarnation: BackEndIncarnation): void {
    if (this.isCurrent(incarnation)) {
      this.setReachable(false);
    }
  }

  private isCurrent(incarnation: BackEndIncarnation): boolean {
    return this.backEnd !== undefined && isSameIncarnation(incarnation, this.backEnd);
  }

  private setReachable(reachable: boolean): void {
    if (this.unreachable !== reachable) {
      return;
    }
    this.unreachable = !reachable;
    if (!reachable) {
      this.listener.onUnavailable();
    }
    this.listener.onChange(this.backEnd, reachable ? 'reachable' : 'unreachable');
  }

  private onBackEnd(backEnd: BackEnd, isNewIncarnation: boolean): void {
    if (isNewIncarnation) {
      // The drain of the previous incarnation does not limit the next one.
      clearTimeout(this.drainTimer);
      this.sendUntil = Number.POSITIVE_INFINITY;
      this.listener.onNewIncarnation(backEnd);
    }
    if (backEnd.state === 'ready') {
      this.unreachable = false;
      this.listener.onReady(backEnd);
    } else if (this.sendUntil === Number.POSITIVE_INFINITY) {
      this.beginDrain();
    }
    this.listener.onChange(backEnd, backEnd.state);
  }

  /** Called once per incarnation: later reports of its drain don't move the acknowledged limits. */
  private beginDrain(): void {
    const { freshnessClock, drainMs } = this.options;
    this.drainTimer = setTimeout(
      () => this.listener.onUnavailable(),
      drainMs() * DRAIN_QUEUE_SHARE,
    );
    this.sendUntil = freshnessClock.now() + drainMs() * DRAIN_SEND_SHARE;
  }

  /** Checks the back end's health while its incarnation or its state is unknown. */
  checkHealthIfNeeded(): void {
    const { pendingHeartbeat } = this.registry;
    const isKnown =
      this.backEnd !== undefined && !this.unreachable && pendingHeartbeat === undefined;
    const service = pendingHeartbeat?.service ?? this.options.service();
    const path = this.options.healthPath(service);
    if (isKnown || this.isCheckingHealth || path === undefined) {
      return;
    }
    this.isCheckingHealth = true;
    const address = pendingHeartbeat?.address ?? this.options.backEndAddress();
    void checkHealth(address, path, this.options.names)
      .then((report) => {
        if (report) {
          this.onHealth(report, service, address);
        }
      })
      .finally(() => {
        this.isCheckingHealth = false;
      });
  }

  private onHealth(answer: HealthAnswer, service: string, address: string): void {
    if (answer.instance === this.backEnd?.instance) {
      this.setReachable(true);
    } else {
      this.confirm(answer, service, address);
    }
    if (this.backEnd?.instance === answer.instance) {
      this.listener.onHealthNotice(answer.notice, this.backEnd);
    }
  }

  private confirm(report: HealthAnswer, service: string, address: string): void {
    const isPendingHeartbeat = report.instance === this.registry.pendingHeartbeat?.instance;
    if (this.backEnd && !isPendingHeartbeat) {
      // The address may now belong to another service, which only a heartbeat can confirm.
      return;
    }
    const now = this.options.freshnessClock.now();
    const fallback = {
      service,
      address,
      state: 'ready',
      coldUntil: now,
      sequence: -1,
      version: undefined,
      bornAt: undefined,
    } as const;
    this.registry.confirmReady(report, fallback);
  }
}
