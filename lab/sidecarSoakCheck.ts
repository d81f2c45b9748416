/** Checks the history of a soak, as callers and back ends have seen it, against the users' rules. */

/** Which rule a finding is about. */
export enum SoakRule {
  /** A success that is not the back end's whole answer to this very request. */
  Mixed = 'mixed',
  /** A request that may not be repeated was run more than once. */
  Twice = 'twice',
  /** "Not run" was promised for a request that may not be repeated, and it has run. */
  Refused = 'refused',
  /** A back end ran what no caller sent, or what was changed on its way. */
  Unasked = 'unasked',
  /** A request ran at more back ends than its route allows. */
  Attempts = 'attempts',
  /** Too little was served after the last fault. */
  Recover = 'recover',
  /** A node in touch does not have a configuration in force in time. */
  Config = 'config',
  /** Nodes in touch went on to send a request under which three back ends had crashed. */
  Crashing = 'crashing',
  /** A node that lives has no record in the store, long after the last fault. */
  Lapsed = 'lapsed',
  /** A back end saw a tenant's key. */
  Key = 'key',
  /** A back end ran a request as that of another tenant. */
  Tenant = 'tenant',
  /** A request was run with a key that was taken away too long ago, or that never was. */
  Revoked = 'revoked',
  /** More of a tenant was run in some window than its limit allows. */
  Quota = 'quota',
  /** The status of a roll-out did not go one way, or ended twice. */
  RolloutState = 'rollout-state',
  /** A version was completed that fails its requests. */
  BadVersion = 'bad-version',
  /** A version that was not completed got more requests than it may. */
  Exposure = 'exposure',
  /** Requests were lost as the other versions ended, though the roll-out was completed. */
  Cut = 'cut',
  /** A back end got more requests than the limit that it had named allows. */
  Limit = 'limit',
  /** A back end got a request too long after it had reported that it is leaving. */
  Leaving = 'leaving',
  /** Work began or went on for clients that had left. */
  Gone = 'gone',
  /** A service got more repeats than its retry budget allows. */
  Budget = 'budget',
}

/** One request as its caller saw it. */
export interface SoakRequest {
  readonly id: string;
  readonly repeatable: boolean;
  readonly bodyBytes: number;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly answer: string;
  /** True if it was sent after the last fault had ended. */
  readonly afterFaults: boolean;
}

/** One run as a back end saw it. */
export interface SoakRun {
  readonly id: string;
  readonly bodyBytes: number;
  /** False if the back end did not wait for the body. */
  readonly hasReadBody: boolean;
}

/** Every node after the last fault. */
export interface SoakFleet {
  readonly newest: number;
  /** The version is undefined for a node without a record, or out of reach. */
  readonly nodes: readonly { readonly name: string; readonly version: number | undefined }[];
}

export interface SoakBreach {
  readonly rule: SoakRule;
  readonly detail: string;
}

/** One run of a request that crashes its back end; `at` is a steady time in milliseconds. */
export interface CrashingRun {
  /** The same for requests that are the same. */
  readonly mark: string;
  readonly at: number;
}

/** The time of a fault, in steady milliseconds. */
export interface Span {
  readonly from: number;
  until: number;
}

/** A request may crash so many back ends, and so many more once all nodes are to know of it. */
const CRASHES_ALLOWED = 3;

const OK = 200;
const PROMISES = new Set([401, 408, 421, 429, 503]);
const RECOVERED_SHARE = 0.9;

/** Every breach in a history. */
export function checkSoak(
  requests: readonly SoakRequest[],
  runs: readonly SoakRun[],
  maxAttempts: number,
): SoakBreach[] {
  const asked = new Map(requests.map((request) => [request.id, request]));
  const runsOf = new Map<string, number>();
  for (const { id } of runs) {
    runsOf.set(id, (runsOf.get(id) ?? 0) + 1);
  }
  return [
    ...requests.flatMap((request) => breachesOf(request, runsOf.get(request.id) ?? 0, maxAttempts)),
    ...runs.filter((run) => !isAsked(run, asked.get(run.id))).map(unasked),
    ...recovery(requests),
  ];
}

function breachesOf(request: SoakRequest, runs: number, maxAttempts: number): SoakBreach[] {
  const { id, repeatable, status, answer } = request;
  const found: SoakBreach[] = [];
  const detail = `${id}: status ${status}, ${runs} runs`;
  if (status === OK && answer !== `answer to ${id}`) {
    found.push({ rule: SoakRule.Mixed, detail });
  }
  if (!repeatable && runs > 1) {
    found.push({ rule: SoakRule.Twice, detail });
  }
  if (!repeatable && runs > 0 && PROMISES.has(status)) {
    found.push({ rule: SoakRule.Refused, detail });
  }
  if (runs > maxAttempts) {
    found.push({ rule: SoakRule.Attempts, detail });
  }
  return found;
}

function isAsked(run: SoakRun, request: SoakRequest | undefined): boolean {
  return request !== undefined && (!run.hasReadBody || run.bodyBytes === request.bodyBytes);
}

function unasked({ id, bodyBytes }: SoakRun): SoakBreach {
  return { rule: SoakRule.Unasked, detail: `${id}: ran with ${bodyBytes} bytes` };
}

function recovery(requests: readonly SoakRequest[]): SoakBreach[] {
  const late = requests.filter(({ afterFaults }) => afterFaults);
  const served = late.filter(({ status }) => status === OK).length;
  return served >= late.length * RECOVERED_SHARE
    ? []
    : [{ rule: SoakRule.Recover, detail: `${served} of ${late.length} served after the faults` }];
}

/** Checks that the nodes have come back to one configuration. */
export function checkFleet({ newest, nodes }: SoakFleet): SoakBreach[] {
  return nodes.flatMap<SoakBreach>(({ name, version }) => {
    if (version === undefined) {
      return [{ rule: SoakRule.Lapsed, detail: `${name} is not known` }];
    }
    const detail = `${name} has ${version}, the newest is ${newest}`;
    return version === newest ? [] : [{ rule: SoakRule.Config, detail }];
  });
}

/**
 * Checks requests that crash back ends: later than the time in which nodes are in touch after the third
 * crash, three more runs are allowed. Runs count where no fault was under way for as long before.
 */
export function checkCrashing(
  runs: readonly CrashingRun[],
  faults: readonly Span[],
  contactMs: number,
): SoakBreach[] {
  const isCalm = (at: number) =>
    faults.every(({ from, until }) => from > at || until < at - contactMs);
  return [...new Set(runs.map(({ mark }) => mark))].flatMap<SoakBreach>((mark) => {
    const times = runs.filter((run) => run.mark === mark).map(({ at }) => at);
    times.sort((left, right) => left - right);
    const third = times[CRASHES_ALLOWED - 1] ?? Number.POSITIVE_INFINITY;
    const late = times.filter((at) => at > third + contactMs && isCalm(at)).length;
    const detail = `${mark}: ${times.length} runs, ${late} of them too late`;
    return late > CRASHES_ALLOWED ? [{ rule: SoakRule.Crashing, detail }] : [];
  });
}
