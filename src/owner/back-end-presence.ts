/**
 * Whether the back end on this machine may get work: follows its registrations,
 * fences its drain, and asks its health when its state is not known.
 */
import type { Clock } from '../model/clock.js';
import {
  type BackEnd,
  BackEndRegistry,
  type HealthReport,
  type Heartbeat,
} from '../registry/back-end-registry.js';
import { type BackEndIncarnation, isSameIncarnation } from '../registry/backEndIncarnation.js';
import type { HeaderNames } from './header-names.js';
import { checkHealth } from './healthCheck.js';
import type { NotRunReason } from './owner.js';

/** Time between two health questions while the back end's state is not known, in milliseconds. */
const HEALTH_INTERVAL_MS = 700;

/** Share of a drain's bound within which tasks that wait may still begin. */
const DRAIN_QUEUE_SHARE = 0.4;

/** Share of a drain's bound within which tasks that were admitted may still be sent. */
const DRAIN_SEND_SHARE = 0.75;

/** What the presence needs of its node. */
export interface BackEndPresenceOptions {
  /** For what is believed of the back end. */
  readonly freshnessClock: Clock;
  readonly names: HeaderNames;
  /** Service that the settings name for this machine. */
  readonly service: () => string;
  readonly backEndAddress: () => string;
  /** Path of the health question, or undefined while no configuration is known. */
  readonly healthPath: (service: string) => string | undefined;
  /** True unless the configuration is known and names no such service. */
  readonly isServiceConfigured: (service: string) => boolean;
  /** Milliseconds after an acknowledged drain in which work may still begin. */
  readonly drainMs: () => number;
}

/** Hears of the back end's comings and goings. */
export interface BackEndPresenceListener {
  /** Another life of the back end, or another back end, is there; called before the others. */
  onNewIncarnation(life: BackEndIncarnation): void;
  /** Another life, or other slots: work may be sent. */
  onReady(backEnd: BackEnd): void;
  /** Tasks that wait must not be sent any more. */
  onUnavailable(): void;
  /** Anything that others may want to know. */
  onChange(backEnd: BackEnd | undefined, cause: string): void;
}

/** One per node. */
export class BackEndPresence {
  private readonly registry = new BackEndRegistry((backEnd, isNewLife) =>
    this.onBackEnd(backEnd, isNewLife),
  );
  private unreachable = false;
  /** Steady time in milliseconds after which nothing may be sent to a back end that leaves. */
  private sendUntil = Number.POSITIVE_INFINITY;
  private isCheckingHealth = false;
  private timer: NodeJS.Timeout | undefined;
  private drainTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly options: BackEndPresenceOptions,
    private readonly listener: BackEndPresenceListener,
  ) {}

  /** Begins to look for the back end. */
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

  /** True when the back end has said that it leaves. */
  get isDraining(): boolean {
    return this.registry.current?.state === 'draining';
  }

  /** Why no new task may be taken, if so. */
  rejectionReason(): NotRunReason | undefined {
    if (!this.backEnd || this.unreachable) {
      return 'no-back-end';
    }
    return this.isDraining ? 'draining' : undefined;
  }

  /** Why a task that was admitted may not be sent any more, if so. */
  sendRejectionReason(): NotRunReason | undefined {
    return this.options.freshnessClock.now() >= this.sendUntil ? 'draining' : undefined;
  }

  /**
   * Takes a heartbeat; the drain it tells is fenced before this returns. False if it is of a service that
   * nobody names: of no back end to use, and not in place of one that is known.
   */
  heartbeat(beat: Heartbeat): boolean {
    if (beat.service !== this.backEnd?.service && !this.options.isServiceConfigured(beat.service)) {
      return false;
    }
    const result = this.registry.heartbeat(beat, this.options.freshnessClock.now());
    if (result === 'unverified') {
      this.checkHealthIfNeeded();
    } else if (result === 'applied' && this.isPresent(beat)) {
      this.setReachable(true);
    }
    return true;
  }

  /** Takes a deregistration; it is fenced before this returns. */
  deregister(life: BackEndIncarnation): void {
    this.registry.deregister(life);
  }

  /** Nothing listened at the address of this life; a later one may be there already. */
  noteUnreachable(life: BackEndIncarnation): void {
    if (this.isPresent(life)) {
      this.setReachable(false);
    }
  }

  private isPresent(life: BackEndIncarnation): boolean {
    return this.backEnd !== undefined && isSameIncarnation(life, this.backEnd);
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

  private onBackEnd(backEnd: BackEnd, isNewLife: boolean): void {
    if (isNewLife) {
      // The drain of the life before does not bind the next one.
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

  /** Once in a life: what it says of its drain later moves no bound that was acknowledged. */
  private beginDrain(): void {
    const { freshnessClock, drainMs } = this.options;
    this.drainTimer = setTimeout(
      () => this.listener.onUnavailable(),
      drainMs() * DRAIN_QUEUE_SHARE,
    );
    this.sendUntil = freshnessClock.now() + drainMs() * DRAIN_SEND_SHARE;
  }

  /** Asks the back end who it is while that is not known. */
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

  private onHealth(report: HealthReport, service: string, address: string): void {
    if (report.instance === this.backEnd?.instance) {
      this.setReachable(true);
      return;
    }
    const wasAnnounced = report.instance === this.registry.pendingHeartbeat?.instance;
    if (this.backEnd && !wasAnnounced) {
      // The address may have gone to another service: only a heartbeat can tell.
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
