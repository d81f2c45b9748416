/**
 * What this node believes of the back end on its machine, from heartbeats,
 * deregistrations and health answers. A drain that was acknowledged binds: a
 * life that is leaving never becomes ready again, however late and in whatever
 * order its heartbeats arrive. A later life under the same id is not bound.
 */
import {
  type BackEndIncarnation,
  isLaterIncarnation,
  isSameIncarnation,
} from './backEndIncarnation.js';
import { createEndedIncarnations } from './endedIncarnations.js';

/** A heartbeat as a back end sends it; its life is the present one. */
export interface Heartbeat extends BackEndIncarnation {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Milliseconds for which the back end is still slow from its start. */
  readonly coldRemainingMs: number;
  /** Rises with each call of the same life, and starts anew in the next. */
  readonly sequence: number;
  /** Version of its software; undefined when it tells none. */
  readonly version: string | undefined;
}

/** The back end that the node may send work to, or that is leaving. */
export interface BackEnd extends BackEndIncarnation {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Steady time in milliseconds until which the back end is slow. */
  readonly coldUntil: number;
  readonly sequence: number;
  /** Version of its software; undefined until a heartbeat has told it. */
  readonly version: string | undefined;
}

/** An answer to a health question that says "ready". */
export interface HealthReport {
  readonly instance: string;
  /** Undefined when the back end does not tell its load. */
  readonly slots: number | undefined;
}

/** What a heartbeat led to. */
export type HeartbeatResult = 'applied' | 'old' | 'unverified';

/** Hears of every change of the back end that may get work; `isNewLife` if it is another life than before. */
export type BackEndListener = (backEnd: BackEnd, isNewLife: boolean) => void;

/** Owned by the local owner; takes events, holds no sockets. */
export class BackEndRegistry {
  private backEnd: BackEnd | undefined;
  private pending: { beat: Heartbeat; at: number } | undefined;
  private readonly ended = createEndedIncarnations();

  constructor(private readonly onChange: BackEndListener) {}

  get current(): BackEnd | undefined {
    return this.backEnd;
  }

  /** The life that waits for its health answer, if there is one. */
  get pendingHeartbeat(): Heartbeat | undefined {
    return this.pending?.beat;
  }

  /** Takes a heartbeat. One of an unknown id waits for {@link confirmReady}. */
  heartbeat(beat: Heartbeat, now: number): HeartbeatResult {
    if (this.ended.has(beat)) {
      return 'old';
    }
    if (beat.instance === this.backEnd?.instance) {
      return this.takeOwn(this.backEnd, beat, now);
    }
    if (beat.state === 'draining') {
      this.ended.add(beat);
      return 'applied';
    }
    if (this.pending && !isNewer(beat, this.pending.beat)) {
      return 'old';
    }
    this.pending = { beat, at: now };
    return 'unverified';
  }

  /** A life says that it leaves for good. */
  deregister(life: BackEndIncarnation): void {
    const leaving = { ...life, bornAt: life.bornAt ?? this.knownBirth(life.instance) };
    this.ended.add(leaving);
    if (this.pending && this.ended.has(this.pending.beat)) {
      this.pending = undefined;
    }
    if (this.backEnd?.instance === life.instance && !isLaterIncarnation(this.backEnd, leaving)) {
      const bornAt = this.backEnd.bornAt ?? leaving.bornAt;
      this.change({ ...this.backEnd, bornAt, state: 'draining' });
    }
  }

  /**
   * A back end said itself which it is, and that it is ready.
   * `fallback` describes it when no heartbeat of it has been heard yet.
   */
  confirmReady(report: HealthReport, fallback: Omit<BackEnd, 'instance' | 'slots'>): void {
    const { instance } = report;
    if (this.backEnd?.instance === instance) {
      return;
    }
    const pending = this.pending?.beat.instance === instance ? this.pending : undefined;
    const slots = pending?.beat.slots ?? report.slots;
    const life = pending?.beat ?? { instance, bornAt: fallback.bornAt };
    if (slots === undefined || this.ended.has(life)) {
      return;
    }
    if (this.backEnd) {
      this.ended.add(this.backEnd);
    }
    this.pending = undefined;
    const next = pending ? backEndOf(pending.beat, pending.at) : { ...fallback, instance, slots };
    this.change(next, true);
  }

  /** A heartbeat under the id of the known back end: of the known life, or of a later or earlier one. */
  private takeOwn(known: BackEnd, beat: Heartbeat, now: number): HeartbeatResult {
    if (isLaterIncarnation(known, beat)) {
      return 'old';
    }
    if (!isLaterIncarnation(beat, known)) {
      return this.update(known, beat, now);
    }
    // Its birth proves that the known life has ended; no health answer could prove more.
    this.ended.add(beat.state === 'draining' ? beat : known);
    this.change(backEndOf(beat, now), true);
    return 'applied';
  }

  private update(known: BackEnd, beat: Heartbeat, now: number): HeartbeatResult {
    if (beat.sequence <= known.sequence) {
      return 'old';
    }
    const state = known.state === 'draining' ? 'draining' : beat.state;
    const bornAt = beat.bornAt ?? known.bornAt;
    const next = { ...backEndOf(beat, now), state, bornAt };
    if (state === 'draining') {
      this.ended.add(next);
    }
    const isSame = next.state === known.state && next.slots === known.slots;
    if (isSame && next.address === known.address && next.service === known.service) {
      this.backEnd = next;
    } else {
      this.change(next);
    }
    return 'applied';
  }

  private knownBirth(instance: string): number | undefined {
    const known = [this.backEnd, this.pending?.beat].find((life) => life?.instance === instance);
    return known?.bornAt;
  }

  private change(backEnd: BackEnd, isNewLife = false): void {
    this.backEnd = backEnd;
    this.onChange(backEnd, isNewLife);
  }
}

function isNewer(beat: Heartbeat, than: Heartbeat): boolean {
  return isSameIncarnation(beat, than)
    ? beat.sequence > than.sequence
    : !isLaterIncarnation(than, beat);
}

function backEndOf(beat: Heartbeat, now: number): BackEnd {
  return {
    instance: beat.instance,
    service: beat.service,
    address: beat.address,
    slots: beat.slots,
    state: beat.state,
    coldUntil: now + beat.coldRemainingMs,
    sequence: beat.sequence,
    version: beat.version,
    bornAt: beat.bornAt,
  };
}
