/**
 * Clients of a soak that leave before they are answered. They pipeline several reads on a connection
 * and close it, and the back ends make calls for these reads. No node may begin work for a client that
 * has left, and no service may get more repeats than the retry budget allows, calls included.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';
import { isCallId } from './backEndCalls.js';
import { continuedRuns, type Departure, GONE_MS, lateArrivals } from './departureCheck.js';
import { pickOne } from './random.js';
import { connectRaw, getText } from './rawClient.js';
import { budgetExcesses } from './retryBudgetCheck.js';
import type { Sidecar } from './sidecarProcesses.js';
import { type SoakBreach, SoakRule, type Span } from './sidecarSoakCheck.js';
import { CALL_PATH, keyOf, MAIN_TENANT, SERVICES } from './soakTraffic.js';

const PREFIX = 'leaving-';

const CLIENTS = 3;
const MOST_PIPELINED = 5;

/** Longest stay and longest pause of such a client, in milliseconds. */
const LONGEST_STAY_MS = 300;
const LONGEST_PAUSE_MS = 250;

/** What a back end calls. Failed calls fail no request: they would count against its version. */
const CALLS = { paths: [CALL_PATH, CALL_PATH], afterMs: 40, areNeeded: false };

/** "More than a few" requests that arrive for clients that have left break the rule. */
const FEW = 3;

/** As the settings of the nodes have it by default. */
const RETRY_BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 64 };

export interface DepartingClients {
  /** Come and leave until stopped; resolves when the last has left. */
  run(): Promise<void>;
  stop(): void;
  readonly departures: readonly Departure[];
  /** `frozen` are the times in which some node was frozen: it could not learn of a departure. */
  breaches(frozen: readonly Span[]): SoakBreach[];
}

/** True for a run of such a client's request, or of a call that was made for one. */
export function isForDeparting(requestId: string): boolean {
  return requestId.startsWith(PREFIX);
}

export function createDepartingClients(
  sidecars: readonly Sidecar[],
  random: () => number,
): DepartingClients {
  const departures: Departure[] = [];
  let isOver = false;
  const applications = sidecars.map(({ application }) => application);

  for (const { application, listen } of sidecars) {
    application.dropsAbandoned = true;
    application.callsOf = ({ requestId }) =>
      isForDeparting(requestId) && !isCallId(requestId)
        ? { ...CALLS, address: listen.clients }
        : undefined;
  }

  const comeAndLeave = async (client: number, visit: number): Promise<void> => {
    const count = 1 + Math.floor(random() * MOST_PIPELINED);
    const ids = Array.from({ length: count }, (_, index) => `${PREFIX}${client}-${visit}-${index}`);
    const fields = [`${NAMES.apiKey}: ${keyOf(MAIN_TENANT)}`];
    const text = ids
      .map((id) => getText(`/${pickOne(SERVICES, random)}-safe/${id}`, id, fields))
      .join('');
    const { socket } = connectRaw(pickOne(sidecars, random).listen.clients, text);
    await delay(random() * LONGEST_STAY_MS);
    const leftAt = performance.now();
    socket.destroy();
    departures.push(...ids.map((requestId) => ({ requestId, leftAt })));
  };

  const keepComing = async (client: number): Promise<void> => {
    for (let visit = 0; !isOver; visit += 1) {
      await comeAndLeave(client, visit);
      await delay(random() * LONGEST_PAUSE_MS);
    }
  };

  const workBreaches = (frozen: readonly Span[]): SoakBreach[] => {
    const isAware = ({ leftAt }: Departure) =>
      frozen.every(({ from, until }) => until < leftAt || from > leftAt + GONE_MS);
    const known = departures.filter(isAware);
    const arrivals = applications.flatMap(({ notices }) => notices.arrivals);
    const late = lateArrivals(known, arrivals);
    const continued = continuedRuns(
      known,
      applications.flatMap(({ runs }) => runs),
    );
    const found: SoakBreach[] = [];
    if (late.length > FEW) {
      const detail = `${late.length} arrived late, ${JSON.stringify(late[0])}`;
      found.push({ rule: SoakRule.Gone, detail });
    }
    if (continued.length > FEW) {
      const detail = `${continued.length} ran on, ${continued[0]?.requestId}`;
      found.push({ rule: SoakRule.Gone, detail });
    }
    return found;
  };

  const budgetBreaches = (): SoakBreach[] =>
    SERVICES.flatMap((service) => {
      const arrivals = applications
        .filter((application) => application.service === service)
        .flatMap(({ notices }) => notices.arrivals);
      // Requests that never arrived count for the rule too; without them the check is stricter.
      const seen = new Map(arrivals.map(({ requestId, at }) => [requestId, at]));
      const requestTimes = [...seen].flatMap(([id, at]) => (isCallId(id) ? [] : [at]));
      const [excess] = budgetExcesses({ requestTimes, arrivals }, RETRY_BUDGET);
      const detail = `${service}: ${JSON.stringify(excess)}`;
      return excess ? [{ rule: SoakRule.Budget, detail }] : [];
    });

  return {
    run: async () => {
      await Promise.all(Array.from({ length: CLIENTS }, (_, client) => keepComing(client)));
    },
    stop: () => {
      isOver = true;
    },
    departures,
    breaches: (frozen) => [...workBreaches(frozen), ...budgetBreaches()],
  };
}
