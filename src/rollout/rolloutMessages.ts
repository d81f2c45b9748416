/** What nodes tell one another of a roll-out, and how it travels: as lists, in a fixed order. */
import { isNonNegativeNumber } from '../codec/numberGuards.js';
import { RolloutPhase } from './rolloutOrder.js';
import type { RolloutPlan } from './rolloutPlan.js';
import type { PhaseUpdate } from './rolloutTracker.js';
import type { CountsByRoute, RouteCounts } from './runCounts.js';
import type { RunLimit } from './runLimiter.js';

/** Shares travel as whole numbers of thousandths. */
const SHARE_UNITS = 1_000;

export enum RolloutMessageKind {
  Phase = 1,
  Evidence = 2,
  Resignation = 3,
  Limit = 4,
}

/** From the decider to all: the phase, its plan, and which version each owner of the service has. */
export interface PhaseMessage extends PhaseUpdate {
  readonly kind: RolloutMessageKind.Phase;
  /** Node that decides. */
  readonly leader: string;
  readonly versions: readonly (readonly [node: string, version: string])[];
}

/** From the decider to an owner with the target version: how many requests it may give its back end. */
export interface LimitMessage extends RunLimit {
  readonly kind: RolloutMessageKind.Limit;
  readonly service: string;
  readonly orderId: string;
  readonly node: string;
  /** Of the count that the limit is for. */
  readonly countId: string;
}

/** From an owner to the decider: what its back end has made of its requests, in all since the order. */
export interface EvidenceReport {
  readonly kind: RolloutMessageKind.Evidence;
  readonly service: string;
  readonly orderId: string;
  /** Milliseconds since the order, as far as the owner knows. */
  readonly ageMs: number;
  readonly node: string;
  /** In which the owner is as it tells this. */
  readonly phase: RolloutPhase;
  /** Another one when the owner counts anew, as after a restart. */
  readonly countId: string;
  /** Rises with each report of a count. */
  readonly sequence: number;
  readonly version: string | undefined;
  /** Milliseconds since the back end was first ready under this order; undefined while it isn't ready. */
  readonly readyMs: number | undefined;
  readonly slots: number;
  /** Requests that run or wait at the owner. */
  readonly load: number;
  /** True if the owner takes nothing new, since its back end is to stop. */
  readonly isFenced: boolean;
  /** Requests that the owner has given its back end of the target version, and what it may. */
  readonly taken: number;
  readonly limit: number;
  readonly counts: CountsByRoute;
}

/** From a decider that the store refuses, to all. */
export interface ResignationMessage {
  readonly kind: RolloutMessageKind.Resignation;
  readonly service: string;
  readonly node: string;
}

export type RolloutMessage = PhaseMessage | EvidenceReport | ResignationMessage | LimitMessage;

/** Renders news as a list. */
export function encodeRolloutMessage(news: RolloutMessage): unknown[] {
  switch (news.kind) {
    case RolloutMessageKind.Phase:
      return [
        news.kind,
        news.service,
        news.orderId,
        Math.round(news.ageMs),
        news.phase,
        news.versions,
        news.leader,
        news.plan && listOfPlan(news.plan),
      ];
    case RolloutMessageKind.Evidence:
      return [
        news.kind,
        news.service,
        news.orderId,
        Math.round(news.ageMs),
        news.node,
        news.phase,
        news.countId,
        news.sequence,
        news.version,
        news.readyMs === undefined ? undefined : Math.round(news.readyMs),
        news.slots,
        news.load,
        news.isFenced,
        news.taken,
        news.limit,
        [...news.counts].map(([route, { answered, failed, crashes, durations, cancellations }]) => [
          route,
          answered,
          failed,
          crashes,
          durations,
          cancellations,
        ]),
      ];
    case RolloutMessageKind.Resignation:
      return [news.kind, news.service, news.node];
    case RolloutMessageKind.Limit:
      return [
        news.kind,
        news.service,
        news.orderId,
        news.node,
        news.countId,
        news.limit,
        news.isUnlimited,
      ];
  }
}

/** As many bytes as it needs: shares are told in thousandths. */
function listOfPlan({ shares, owners, isFenced }: RolloutPlan): unknown[] {
  const rounded = [...shares].map(([route, share]) => [route, Math.round(share * SHARE_UNITS)]);
  return [rounded, [...owners], isFenced];
}

/** Reads a list; undefined when it is no news. */
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
  const told = { ...head, kind: RolloutMessageKind.Phase as const, phase, leader };
  return { ...told, versions: versions.filter(isPair), ...(plan ? { plan } : {}) };
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
  const isRead =
    typeof node === 'string' &&
    typeof countId === 'string' &&
    isNonNegativeNumber(limit) &&
    typeof isUnlimited === 'boolean';
  return isRead
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
  const isKnown = isTextOrNone(version) && isAmountOrNone(readyMs);
  const isLimited = isNonNegativeNumber(taken) && isNonNegativeNumber(limit);
  // A load that cannot be read must not pass for none: an owner that runs nothing may be stopped.
  if (
    !isKnown ||
    !isNonNegativeNumber(slots) ||
    !isNonNegativeNumber(load) ||
    typeof isFenced !== 'boolean'
  ) {
    return undefined;
  }
  const counts = routes.map(readRoute);
  if (!isLimited || !counts.every((each) => each !== undefined)) {
    return undefined;
  }
  const kind = RolloutMessageKind.Evidence;
  const back = { version, readyMs, slots, load, isFenced, taken, limit };
  return { ...head, kind, node, phase, countId, sequence, ...back, counts: new Map(counts) };
}

function readRoute(value: unknown): [string, RouteCounts] | undefined {
  const [route, answered, failed, crashes, durations, cancellations] = Array.isArray(value)
    ? value
    : [];
  const isRead =
    typeof route === 'string' &&
    isNonNegativeNumber(answered) &&
    isNonNegativeNumber(failed) &&
    isNonNegativeNumber(crashes) &&
    isAmounts(durations) &&
    isAmounts(cancellations);
  return isRead ? [route, { answered, failed, crashes, durations, cancellations }] : undefined;
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
