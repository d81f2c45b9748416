/**
 * What a back end of the lab reports about itself in its answers, a rate limit and that it is leaving,
 * and what it received meanwhile.
 */
import type http from 'node:http';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';

/** A notice that holds from a steady time in milliseconds until the next one. */
export interface StatedNotice {
  readonly at: number;
  /** Start of the incarnation that states it. */
  readonly bornAt: number;
  /** Requests per second; undefined for no limit. A text is stated as it is. */
  readonly limit: number | string | undefined;
  readonly isLeaving: boolean;
}

/** A request that reached the back end, which ran or rejected it. */
export interface Arrival {
  readonly requestId: string;
  readonly at: number;
  readonly bornAt: number;
}

export interface StatedNotices {
  readonly history: readonly StatedNotice[];
  readonly arrivals: readonly Arrival[];
  readonly isLeaving: boolean;
  /** Names a limit in all answers from now on; undefined for none. */
  nameLimit(limit: number | string | undefined): void;
  /** Reports in all answers from now on that it is leaving. */
  leave(): void;
  /** Another incarnation begins, which reports nothing. */
  clear(): void;
  /** Puts what holds now into an answer that is about to be sent. */
  stateIn(response: http.ServerResponse): void;
  noteArrival(requestId: string): void;
}

export function createStatedNotices(bornAt: () => number): StatedNotices {
  const history: StatedNotice[] = [];
  const arrivals: Arrival[] = [];
  let limit: StatedNotice['limit'];
  let isLeaving = false;
  const note = (): void => {
    history.push({ at: performance.now(), bornAt: bornAt(), limit, isLeaving });
  };
  return {
    history,
    arrivals,
    get isLeaving() {
      return isLeaving;
    },
    nameLimit: (named) => {
      limit = named;
      note();
    },
    leave: () => {
      isLeaving = true;
      note();
    },
    clear: () => {
      limit = undefined;
      isLeaving = false;
      note();
    },
    stateIn: (response) => {
      response.removeHeader(NAMES.limit);
      if (limit !== undefined) {
        response.setHeader(NAMES.limit, String(limit));
      }
      if (isLeaving) {
        response.setHeader(NAMES.leaving, '1');
      }
    },
    noteArrival: (requestId) => {
      arrivals.push({ requestId, at: performance.now(), bornAt: bornAt() });
    },
  };
}
