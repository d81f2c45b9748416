/**
 * Checks the decision logs of a whole mesh against the rules that the nodes can
 * break by themselves. Works on the lines of the lab's machines and on those of
 * any run whose output was kept.
 */

/** One line of a node's log, parsed. */
export interface LogLine {
  /** Steady time of its node in milliseconds. */
  readonly at: number;
  readonly node: string;
  readonly event: string;
  /** Time in milliseconds that all nodes share, where the kept output tells it. */
  readonly sharedAt?: number;
  readonly [field: string]: unknown;
}

/** Which rule a finding is about. */
export enum Rule {
  /** The configuration of a node went back within one life. */
  NeverBack = 'never-back',
  /** A request that may not be repeated reached a second back end. */
  AtMostOnce = 'at-most-once',
  /** A promise "not run" was given although the request may have run. */
  TruePromise = 'true-promise',
  /** One request reached more back ends than its route allows. */
  Attempts = 'attempts',
  /** Repeats of all nodes went beyond the shared budget. */
  Budget = 'budget',
}

/** One broken rule and where. */
export interface Breach {
  readonly rule: Rule;
  readonly node: string;
  readonly at: number;
  readonly detail: string;
}

/** What the check must know of the deployment. */
export interface MeshRules {
  /** True for the name of a route whose requests may run more than once. */
  readonly mayRepeat: (route: string) => boolean;
  readonly maxAttempts: number;
  /** Repeats that every window of {@link windowMs} may hold, by service. */
  readonly repeatsAllowed: (service: string) => number;
  readonly windowMs: number;
  /** Brings a node's time to one that all share; the identity when they share a clock. */
  readonly sharedTime?: (line: LogLine) => number;
}

const PROMISES = new Set([408, 421, 429, 503]);

/** Every breach in the lines, which are in the order of each node's log. */
export function checkDecisionLog(lines: readonly LogLine[], rules: MeshRules): Breach[] {
  const requests = lines.filter(({ event }) => event === 'request');
  return [
    ...versionsThatWentBack(lines),
    ...requests.flatMap((line) => breachesOf(line, rules)),
    ...overspent(requests, rules),
  ];
}

function versionsThatWentBack(lines: readonly LogLine[]): Breach[] {
  const held = new Map<string, number>();
  return lines.flatMap((line) => {
    if (line.event === 'started') {
      held.delete(line.node);
    }
    if (line.event !== 'configuration') {
      return [];
    }
    const before = held.get(line.node) ?? 0;
    const version = Number(line.version);
    held.set(line.node, version);
    const detail = `version ${version} after ${before}`;
    return version > before ? [] : [breach(Rule.NeverBack, line, detail)];
  });
}

function breachesOf(line: LogLine, rules: MeshRules): Breach[] {
  const reached = offersOf(line).filter(hasArrived);
  const mayHaveRun = reached.filter((result) => !result.startsWith('not-run'));
  const found: Breach[] = [];
  if (mayHaveRun.length > 1 && !rules.mayRepeat(String(line.route))) {
    found.push(breach(Rule.AtMostOnce, line, reached.join(', ')));
  }
  if (PROMISES.has(Number(line.status)) && mayHaveRun.length > 0 && line.code !== 'answered') {
    found.push(breach(Rule.TruePromise, line, `${line.status} after ${mayHaveRun.join(', ')}`));
  }
  if (reached.length > rules.maxAttempts) {
    found.push(breach(Rule.Attempts, line, reached.join(', ')));
  }
  return found;
}

/** A window is looked at from each repeat on. */
function overspent(requests: readonly LogLine[], rules: MeshRules): Breach[] {
  const timeOf = rules.sharedTime ?? (({ at }: LogLine) => at);
  const repeats = requests
    .flatMap((line) =>
      offersOf(line)
        .filter(hasArrived)
        .slice(1)
        .map(() => line),
    )
    .sort((left, right) => timeOf(left) - timeOf(right));
  return repeats.flatMap((line) => {
    const since = timeOf(line);
    const count = repeats.filter(
      (other) =>
        other.service === line.service &&
        timeOf(other) >= since &&
        timeOf(other) < since + rules.windowMs,
    ).length;
    const allowed = rules.repeatsAllowed(String(line.service));
    return count > allowed
      ? [breach(Rule.Budget, line, `${count} repeats for ${line.service}, ${allowed} allowed`)]
      : [];
  });
}

function offersOf(line: LogLine): string[] {
  const offers = Array.isArray(line.offers) ? line.offers : [];
  return offers.map((offer) => String((offer as { result?: unknown }).result));
}

/** True for the result of an offer that a back end got, run or not. */
function hasArrived(result: string): boolean {
  return (
    !result.startsWith('not-run') ||
    result === 'not-run rejected-by-back-end' ||
    result === 'not-run other-instance'
  );
}

function breach(rule: Rule, line: LogLine, detail: string): Breach {
  const id = line.requestId === undefined ? '' : `${line.requestId}: `;
  return { rule, node: line.node, at: line.at, detail: `${id}${detail}` };
}
