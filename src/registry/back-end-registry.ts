/**
 * What this node believes of the back end on its machine, from heartbeats,
 * deregistrations and health answers. A drain that was acknowledged binds: an
 * incarnation that is leaving never becomes ready again, however late and in
 * whatever order its heartbeats arrive.
 */

/** A heartbeat as a back end sends it. */
export interface Heartbeat {
  readonly instance: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Milliseconds for which the back end is still slow from its start. */
  readonly coldRemainingMs: number;
  /** Rises with each call of the same incarnation. */
  readonly sequence: number;
  /** Version of its software; undefined when it tells none. */
  readonly version: string | undefined;
  /** Start of its present life, in Unix milliseconds of its own clock; undefined when it tells none. */
  readonly bornAt: number | undefined;
}

/** The back end that the node may send work to, or that is leaving. */
export interface BackEnd {
  readonly instance: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Steady time in milliseconds until which the back end is slow. */
  readonly coldUntil: number;
  readonly sequence: number;
  /** Version of its software; undefined until a heartbeat has told it. */
  readonly version: string | undefined;
  /** Start of its present life, as its heartbeats tell it. */
  readonly bornAt: number | undefined;
}

/** An answer to a health question that says "ready". */
export interface HealthReport {
  readonly instance: string;
  /** Undefined when the back end does not tell its load. */
  readonly slots: number | undefined;
}

/** What a heartbeat led to. */
export type HeartbeatResult = 'applied' | 'old' | 'unverified';

/** Incarnations that have ended are remembered, up to this many. */
const MAX_RETIRED = 256;

/** Owned by the local owner; takes events, holds no sockets. */
export class BackEndRegistry {
  private backEnd: BackEnd | undefined;
  private pending: { beat: Heartbeat; at: number } | undefined;
  private readonly retired = new Set<string>();

  /** `onChange` is called after every change of the back end that may get work. */
  constructor(private readonly onChange: (backEnd: BackEnd | undefined) => void) {}

  get current(): BackEnd | undefined {
    return this.backEnd;
  }

  /** The incarnation that waits for its health answer, if there is one. */
  get unverified(): Heartbeat | undefined {
    return this.pending?.beat;
  }

  /** Takes a heartbeat. One of an unknown incarnation waits for {@link verified}. */
  heartbeat(beat: Heartbeat, now: number): HeartbeatResult {
    if (this.retired.has(beat.instance)) {
      return 'old';
    }
    if (beat.instance === this.backEnd?.instance) {
      return this.update(this.backEnd, beat, now);
    }
    if (beat.state === 'draining') {
      this.retire(beat.instance);
      return 'applied';
    }
    const pending = this.pending?.beat;
    if (pending?.instance === beat.instance && beat.sequence <= pending.sequence) {
      return 'old';
    }
    this.pending = { beat, at: now };
    return 'unverified';
  }

  /** An incarnation says that it leaves for good. */
  deregister(instance: string): void {
    this.retire(instance);
    if (this.pending?.beat.instance === instance) {
      this.pending = undefined;
    }
    if (this.backEnd?.instance === instance) {
      this.change({ ...this.backEnd, state: 'draining' });
    }
  }

  /**
   * A back end said itself which incarnation it is, and that it is ready.
   * `fallback` describes it when no heartbeat of it has been heard yet.
   */
  verified(report: HealthReport, fallback: Omit<BackEnd, 'instance' | 'slots'>): void {
    const { instance } = report;
    if (this.retired.has(instance) || this.backEnd?.instance === instance) {
      return;
    }
    const pending = this.pending?.beat.instance === instance ? this.pending : undefined;
    const slots = pending?.beat.slots ?? report.slots;
    if (slots === undefined) {
      return;
    }
    if (this.backEnd) {
      this.retire(this.backEnd.instance);
    }
    this.pending = undefined;
    this.change(pending ? backEndOf(pending.beat, pending.at) : { ...fallback, instance, slots });
  }

  private update(known: BackEnd, beat: Heartbeat, now: number): HeartbeatResult {
    if (beat.sequence <= known.sequence) {
      return 'old';
    }
    const state = known.state === 'draining' ? 'draining' : beat.state;
    if (state === 'draining') {
      this.retire(beat.instance);
    }
    const next = { ...backEndOf(beat, now), state };
    const isSame = next.state === known.state && next.slots === known.slots;
    if (isSame && next.address === known.address && next.service === known.service) {
      this.backEnd = next;
    } else {
      this.change(next);
    }
    return 'applied';
  }

  private retire(instance: string): void {
    this.retired.add(instance);
    const oldest = this.retired.values().next().value;
    if (this.retired.size > MAX_RETIRED && oldest !== undefined) {
      this.retired.delete(oldest);
    }
  }

  private change(backEnd: BackEnd): void {
    this.backEnd = backEnd;
    this.onChange(backEnd);
  }
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
