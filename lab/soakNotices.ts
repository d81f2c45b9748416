/**
 * What back ends of a soak report about themselves: one after the other names a limit, which may fall, and
 * lifts it; now and then one reports that it is leaving, and starts again some seconds later.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { ApplicationStandIn } from './application-stand-in.js';
import { arrivalsAfterLeaving, limitExcesses } from './noticeCheck.js';
import { pickOne } from './random.js';
import { type SoakBreach, SoakRule } from './sidecarSoakCheck.js';

/** Limits that are named, in requests per second. */
const LIMITS = [0.25, 1, 2.4, 5.3, 12];

/** Time for which one limit holds, in milliseconds: windows must fit after the contact time. */
const SHORTEST_LIMIT_MS = 5_000;
const LONGEST_LIMIT_MS = 9_000;

/** Part of the limits that fall before they are lifted. */
const FALL_SHARE = 0.4;

/** Part of the notices that report that a back end is leaving. */
const LEAVING_SHARE = 0.4;

/** Pause between two notices, in milliseconds. */
const LONGEST_PAUSE_MS = 1_500;

/** A back end that left is away for this time, in milliseconds. */
const RESTART_MS = 500;

/** Times that the nodes are given, in milliseconds. */
export interface NoticeTimes {
  /** After a limit was first named. */
  readonly contactMs: number;
  /** After a back end has reported that it is leaving. */
  readonly drainMs: number;
}

export interface SoakNotices {
  /** Back ends state notices until stopped; resolves when none holds any more. */
  run(): Promise<void>;
  stop(): void;
  /** Limits that were named, and departures. */
  readonly counts: { readonly limits: number; readonly departures: number };
  breaches(): SoakBreach[];
}

export function createSoakNotices(
  applications: readonly ApplicationStandIn[],
  { contactMs, drainMs }: NoticeTimes,
  random: () => number,
): SoakNotices {
  const counts = { limits: 0, departures: 0 };
  let isOver = false;

  const hold = async (application: ApplicationStandIn, limit: number): Promise<void> => {
    const { bornAt } = application;
    application.notices.nameLimit(limit);
    counts.limits += 1;
    const forMs = SHORTEST_LIMIT_MS + random() * (LONGEST_LIMIT_MS - SHORTEST_LIMIT_MS);
    const until = performance.now() + forMs;
    while (!isOver && application.bornAt === bornAt && performance.now() < until) {
      await delay(Math.min(100, until - performance.now()));
    }
  };

  const limitOne = async (application: ApplicationStandIn): Promise<void> => {
    const { bornAt } = application;
    const limit = pickOne(LIMITS, random);
    await hold(application, limit);
    if (random() < FALL_SHARE && application.bornAt === bornAt) {
      await hold(application, limit / 4);
    }
    if (application.bornAt === bornAt) {
      application.notices.nameLimit(undefined);
    }
  };

  const leave = async (application: ApplicationStandIn): Promise<void> => {
    const { bornAt } = application;
    application.notices.leave();
    counts.departures += 1;
    await delay(drainMs * 2);
    if (application.bornAt === bornAt) {
      application.crash(RESTART_MS);
    }
  };

  return {
    run: async () => {
      while (!isOver) {
        const application = pickOne(applications, random);
        const isLeaving = random() < LEAVING_SHARE;
        if (application.isListening) {
          await (isLeaving ? leave(application) : limitOne(application));
        }
        await delay(random() * LONGEST_PAUSE_MS);
      }
    },
    stop: () => {
      isOver = true;
    },
    counts,
    breaches: () =>
      applications.flatMap<SoakBreach>(({ instance, notices }) => [
        ...limitExcesses(notices, contactMs).map(({ count, allowed }) => ({
          rule: SoakRule.Limit,
          detail: `${instance}: ${count} requests in 4 s, allowed ${allowed.toFixed(1)}`,
        })),
        ...arrivalsAfterLeaving(notices, drainMs).map(({ requestId }) => ({
          rule: SoakRule.Leaving,
          detail: `${instance}: ${requestId} after it had reported that it is leaving`,
        })),
      ]),
  };
}
