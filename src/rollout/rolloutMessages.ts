/**
 * Messages between nodes about roll-outs, and their encoding as lists with a fixed order of fields.
 */
import { isNonNegativeNumber } from '../codec/numberGuards.js';
import { RolloutPhase } from './rolloutOrder.js';
import type { RolloutPlan } from './rolloutPlan.js';
import type { PhaseUpdate } from './rolloutTracker.js';
import type { CountsByRoute, RouteCounts } from './runCounts.js';
import type { RunLimit } from './runLimiter.js';

/** Shares are encoded as whole numbers of thousandths. */
const SHARE_UNITS = 1_000;

export enum RolloutMessageKind {
  Phase = 1,
  Evidence = 2,
  Resignation = 3,
  Limit = 4,
}

/**
 * Announcement by the leader: the phase, its plan, and the version of each owner of the service.
 */
export interface PhaseMessage extends PhaseUpdate {
  readonly kind: RolloutMessageKind.Phase;
  /** Node that is the leader. */
  readonly leader: string;
  readonly versions: readonly (readonly [node: string, version: string])[];
}

/** From the leader to an owner with the target version: the limit of requests for its back end. */
export interface LimitMessage extends RunLimit {
  readonly kind: RolloutMessageKind.Limit;
  readonly service: string;
  readonly orderId: string;
  readonly node: string;
  /** Id of the count that the limit applies to. */
  readonly countId: string;
}

/** From an owner to the leader: how requests ended at its back end, as totals since the order. */
export interface EvidenceReport {
  readonly kind: RolloutMessageKind.Evidence;
  readonly service: string;
  readonly orderId: string;
  /** Milliseconds since the order was made, by the owner's information. */
  readonly ageMs: number;
  readonly node: string;
  /** Phase that the owner is in when it makes the report. */
  readonly phase: RolloutPhase;
  /** Changes when the owner's counts start from zero, as after a restart. */
  readonly countId: string;
  /** Rises with each report with the same `countId`. */
  readonly sequence: number;
  readonly version: string | undefined;
  /**
   * Milliseconds since the back end was first ready under this order; undefined while it isn't
   * ready.
   */
  readonly readyMs: number | undefined;
  readonly slots: number;
  /** Requests that run or wait at the owner. */
  readonly load: number;
  /** True if the owner accepts nothing new because its back end is to stop. */
  readonly isFenced: boolean;
  /** Requests that the owner has passed to its back end of the target version. */
  readonly taken: number;
  /** Limit of `taken`. */
  readonly limit: number;
  readonly counts: CountsByRoute;
}

/** Announcement by a leader that gives up deciding because the store refuses its writes. */
export interface ResignationMessage {
  readonly kind: RolloutMessageKind.Resignation;
  readonly service: string;
  readonly node: string;
}

export type RolloutMessage = PhaseMessage | EvidenceReport | ResignationMessage | LimitMessage;

/** Encodes a message as a list. */
export function encodeRolloutMessage(message: RolloutMessage): unknown[] {
  switch (message.kind) {
    case RolloutMessageKind.Phase:
      return [
        message.kind,
        message.service,
        message.orderId,
        Math.round(message.ageMs),
        message.phase,
        message.versions,
        message.leader,
        message.plan && encodePlan(message.plan),
      ];
    case RolloutMessageKind.Evidence:
      return [
        message.kind,
        message.service,
        message.orderId,
        Math.round(message.ageMs),
        message.node,
        message.phase,
        message.countId,
        message.sequence,
        message.version,
        message.readyMs === undefined ? undefined : Math.round(message.readyMs),
        message.slots,
        message.load,
        message.isFenced,
        message.taken,
        message.limit,
        [...message.counts].map(
          ([route, { answered, failed, crashes, durations, cancellations }]) => [
            route,
            answered,
            failed,
            crashes,
            durations,
            cancellations,
          ],
        ),
      ];
    case RolloutMessageKind.Resignation:
      return [message.kind, message.service, message.node];
    case RolloutMessageKind.Limit:
      return [
        message.kind,
        message.service,
        message.orderId,
        message.node,
        message.countId,
        message.limit,
        message.isUnlimited,
      ];
  }
}

/** Encodes a plan; shares become whole thousandths, which take fewer bytes. */
function encodePlan({ shares, owners, isFenced }: RolloutPlan): unknown[] {
  const rounded = [...shares].map(([route, share]) => [route, Math.round(share * SHARE_UNITS)]);
  return [rounded, [...owners], isFenced];
}

/** Decodes a list; undefined if it is not a valid message. */
export function decodeRolloutMessage(value: unknown): RolloutMessage | undefined {
  if (!Array.isArray(value) || typeof value[1] !== 'string') {
    return undefined;
  }
  const [kind, service, third, fourth] = value as unknown[];
  if (typeof service !== 'string' || typeof third !== 'string') {
    return undefined;
  }
  if (kind === RolloutMessageKind.Resignation) {
    return { kind, service, node: third };
  }
  if (kind === RolloutMessageKind.Limit) {
    return readLimit({ service, orderId: third }, value);
  }
  if (!isNonNegativeNumber(fourth)) {
    return undefined;
  }
  const head = { service, orderId: third, ageMs: fourth };
  return kind === RolloutMessageKind.Phase ? readPhase(head, value) : readEvidence(head, value);
}

type Head = Pick<PhaseUpdate, 'service' | 'orderId' | 'ageMs'>;

function readPhase(head: Head, value: readonly unknown[]): PhaseMessage | undefined {
  const [phase, versions, leader, planList] = value.slice(4);
  if (!isPhase(phase) || !Array.isArray(versions) || typeof leader !== 'string') {
    return undefined;
  }
  const plan = readPlan(planList);
  const message = { ...head, kind: RolloutMessageKind.Phase as const, phase, leader };
  return { ...message, versions: versions.filter(isPair), ...(plan ? { plan } : {}) };
}

function readPlan(value: unknown): RolloutPlan | undefined {
  const [shares, owners, isFenced] = Array.isArray(value) ? (value as unknown[]) : [];
  if (!Array.isArray(shares) || !Array.isArray(owners)) {
    return undefined;
  }
  const isShare = (each: unknown): each is [string, number] =>
    Array.isArray(each) && typeof each[0] === 'string' && isNonNegativeNumber(each[1]);
  const isName = (each: unknown): each is string => typeof each === 'string';
  return {
    shares: new Map(shares.filter(isShare).map(([route, units]) => [route, units / SHARE_UNITS])),
    owners: new Set(owners.filter(isName)),
    isFenced: isFenced === true,
  };
}

function readLimit(
  head: Pick<LimitMessage, 'service' | 'orderId'>,
  value: readonly unknown[],
): LimitMessage | undefined {
  const [node, countId, limit, isUnlimited] = value.slice(3);
  const isValid =
    typeof node === 'string' &&
    typeof countId === 'string' &&
    isNonNegativeNumber(limit) &&
    typeof isUnlimited === 'boolean';
  return isValid
    ? { ...head, kind: RolloutMessageKind.Limit, node, countId, limit, isUnlimited }
    : undefined;
}

function readEvidence(head: Head, value: readonly unknown[]): EvidenceReport | undefined {
  const [node, phase, countId, sequence, ...rest] = value.slice(4);
  const [version, readyMs, slots, load, isFenced, taken, limit, routes] = rest;
  if (
    value[0] !== RolloutMessageKind.Evidence ||
    typeof node !== 'string' ||
    !Array.isArray(routes)
  ) {
    return undefined;
  }
  if (!isPhase(phase) || typeof countId !== 'string' || !isNonNegativeNumber(sequence)) {
    return undefined;
  }
  const isBackEndValid = isTextOrNone(version) && isAmountOrNone(readyMs);
  const isLimitValid = isNonNegativeNumber(taken) && isNonNegativeNumber(limit);
  // An invalid load must not be read as 0: an owner without load may be stopped.
  if (
    !isBackEndValid ||
    !isNonNegativeNumber(slots) ||
    !isNonNegativeNumber(load) ||
    typeof isFenced !== 'boolean'
  ) {
    return undefined;
  }
  const counts = routes.map(readRoute);
  if (!isLimitValid || !counts.every((each) => each !== undefined)) {
    return undefined;
  }
  const kind = RolloutMessageKind.Evidence;
  const backEnd = { version, readyMs, slots, load, isFenced, taken, limit };
  return { ...head, kind, node, phase, countId, sequence, ...backEnd, counts: new Map(counts) };
}

function readRoute(value: unknown): [string, RouteCounts] | undefined {
  const [route, answered, failed, crashes, durations, cancellations] = Array.isArray(value)
    ? value
    : [];
  const isValid =
    typeof route === 'string' &&
    isNonNegativeNumber(answered) &&
    isNonNegativeNumber(failed) &&
    isNonNegativeNumber(crashes) &&
    isAmounts(durations) &&
    isAmounts(cancellations);
  return isValid ? [route, { answered, failed, crashes, durations, cancellations }] : undefined;
}

function isPhase(value: unknown): value is RolloutPhase {
  return typeof value === 'number' && RolloutPhase[value] !== undefined;
}

function isAmounts(value: unknown): value is number[] {
  return Array.isArray(value) && value.every(isNonNegativeNumber);
}

function isAmountOrNone(value: unknown): value is number | undefined {
  return value === undefined || isNonNegativeNumber(value);
}

function isTextOrNone(value: unknown): value is string | undefined {
  return value === undefined || typeof value === 'string';
}

function isPair(value: unknown): value is [string, string] {
  return (
    Array.isArray(value) && value.length === 2 && value.every((each) => typeof each === 'string')
  );
}
