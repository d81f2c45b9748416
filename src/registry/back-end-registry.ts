/**
 * Tracks the state of the back end on this node's machine from heartbeats, deregistrations and
 * health responses. An acknowledged drain is final: an incarnation that is draining never becomes
 * ready again, even if its heartbeats arrive late or out of order. A later incarnation under the
 * same id can become ready.
 */
import {
  type BackEndIncarnation,
  isLaterIncarnation,
  isSameIncarnation,
} from './backEndIncarnation.js';
import { createEndedIncarnations } from './endedIncarnations.js';

/** A heartbeat as a back end sends it, from its current incarnation. */
export interface Heartbeat extends BackEndIncarnation {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Milliseconds for which the back end will still be slow because it has just started. */
  readonly coldRemainingMs: number;
  /** Increases with each message of an incarnation and starts again in the next one. */
  readonly sequence: number;
  /** Version of the back end's software. Undefined if the heartbeat has none. */
  readonly version: string | undefined;
}

/** The current back end: ready for work, or draining. */
export interface BackEnd extends BackEndIncarnation {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Steady time until which the back end is slow after its start, in milliseconds. */
  readonly coldUntil: number;
  /** Sequence number of the last heartbeat. */
  readonly sequence: number;
  /** Version of the back end's software. Undefined until a heartbeat contains one. */
  readonly version: string | undefined;
}

/** A back end's response to a health probe, with the result "ready". */
export interface HealthReport {
  readonly instance: string;
  /** Undefined if the response does not contain the back end's load. */
  readonly slots: number | undefined;
}

/**
 * The result of a heartbeat. `old`: ignored, because it is late or from an ended incarnation.
 * `unverified`: from an unknown back end, whose health has to be probed first.
 */
export type HeartbeatResult = 'applied' | 'old' | 'unverified';

/**
 * Called when the current back end is replaced, ends, or changes its state, slots, address
 * or service. `isNewIncarnation` is true if it is a different incarnation than before.
 */
export type BackEndListener = (backEnd: BackEnd, isNewIncarnation: boolean) => void;

/** Used by the local owner. It processes events and opens no connections. */
export class BackEndRegistry {
  private backEnd: BackEnd | undefined;
  private pending: { heartbeat: Heartbeat; at: number } | undefined;
  private readonly ended = createEndedIncarnations();

  constructor(private readonly onChange: BackEndListener) {}

  /** The current back end. Undefined until one is confirmed. */
  get current(): BackEnd | undefined {
    return this.backEnd;
  }

  /** The heartbeat of a back end that awaits confirmation by a health response, if any. */
  get pendingHeartbeat(): Heartbeat | undefined {
    return this.pending?.heartbeat;
  }

  /**
   * Processes a heartbeat. A ready heartbeat with an unknown id waits for {@link confirmReady}.
   * With the state `draining`, its incarnation is recorded as ended at once.
   */
  heartbeat(heartbeat: Heartbeat, now: number): HeartbeatResult {
    if (this.ended.has(heartbeat)) {
      return 'old';
    }
    if (heartbeat.instance === this.backEnd?.instance) {
      return this.applyToCurrent(this.backEnd, heartbeat, now);
    }
    if (heartbeat.state === 'draining') {
      this.ended.add(heartbeat);
      return 'applied';
    }
    if (this.pending && !isNewer(heartbeat, this.pending.heartbeat)) {
      return 'old';
    }
    this.pending = { heartbeat, at: now };
    return 'unverified';
  }

  /** An incarnation has deregistered, or has reported that it is leaving: it accepts no more work. */
  endIncarnation(incarnation: BackEndIncarnation): void {
    const leaving = {
      ...incarnation,
      bornAt: incarnation.bornAt ?? this.knownStart(incarnation.instance),
    };
    this.ended.add(leaving);
    if (this.pending && this.ended.has(this.pending.heartbeat)) {
      this.pending = undefined;
    }
    if (
      this.backEnd?.instance === incarnation.instance &&
      !isLaterIncarnation(this.backEnd, leaving)
    ) {
      const bornAt = this.backEnd.bornAt ?? leaving.bornAt;
      this.change({ ...this.backEnd, bornAt, state: 'draining' });
    }
  }

  /**
   * A health response of the back end contained its id and the result "ready".
   * `fallback` describes the back end if it has not sent a heartbeat yet.
   */
  confirmReady(report: HealthReport, fallback: Omit<BackEnd, 'instance' | 'slots'>): void {
    const { instance } = report;
    if (this.backEnd?.instance === instance) {
      return;
    }
    const pending = this.pending?.heartbeat.instance === instance ? this.pending : undefined;
    const slots = pending?.heartbeat.slots ?? report.slots;
    const incarnation = pending?.heartbeat ?? { instance, bornAt: fallback.bornAt };
    if (slots === undefined || this.ended.has(incarnation)) {
      return;
    }
    if (this.backEnd) {
      this.ended.add(this.backEnd);
    }
    this.pending = undefined;
    const next = pending
      ? backEndOf(pending.heartbeat, pending.at)
      : { ...fallback, instance, slots };
    this.change(next, true);
  }

  /**
   * Processes a heartbeat with the id of the current back end. It may come from the current
   * incarnation or from an earlier or later one.
   */
  private applyToCurrent(known: BackEnd, heartbeat: Heartbeat, now: number): HeartbeatResult {
    if (isLaterIncarnation(known, heartbeat)) {
      return 'old';
    }
    if (!isLaterIncarnation(heartbeat, known)) {
      return this.update(known, heartbeat, now);
    }
    // The later start proves that the known incarnation has ended, so no health probe is needed.
    this.ended.add(heartbeat.state === 'draining' ? heartbeat : known);
    this.change(backEndOf(heartbeat, now), true);
    return 'applied';
  }

  private update(known: BackEnd, heartbeat: Heartbeat, now: number): HeartbeatResult {
    if (heartbeat.sequence <= known.sequence) {
      return 'old';
    }
    const state = known.state === 'draining' ? 'draining' : heartbeat.state;
    const bornAt = heartbeat.bornAt ?? known.bornAt;
    const next = { ...backEndOf(heartbeat, now), state, bornAt };
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

  private knownStart(instance: string): number | undefined {
    const known = [this.backEnd, this.pending?.heartbeat].find(
      (incarnation) => incarnation?.instance === instance,
    );
    return known?.bornAt;
  }

  private change(backEnd: BackEnd, isNewIncarnation = false): void {
    this.backEnd = backEnd;
    this.onChange(backEnd, isNewIncarnation);
  }
}

function isNewer(heartbeat: Heartbeat, than: Heartbeat): boolean {
  return isSameIncarnation(heartbeat, than)
    ? heartbeat.sequence > than.sequence
    : !isLaterIncarnation(than, heartbeat);
}

function backEndOf(heartbeat: Heartbeat, now: number): BackEnd {
  return {
    instance: heartbeat.instance,
    service: heartbeat.service,
    address: heartbeat.address,
    slots: heartbeat.slots,
    state: heartbeat.state,
    coldUntil: now + heartbeat.coldRemainingMs,
    sequence: heartbeat.sequence,
    version: heartbeat.version,
    bornAt: heartbeat.bornAt,
  };
}
