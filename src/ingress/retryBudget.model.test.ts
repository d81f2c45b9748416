/**
 * Guards against repeats beyond the budget at a service that is called: a repeated run makes its
 * calls anew. Nodes are played without sockets; clients send, attempts fail, runs make calls, and
 * nodes restart, also all at once and several times in a window.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { RequestEvent } from '../../lab/departureCheck.js';
import { seededRandom } from '../../lab/random.js';
import { budgetExcesses, type ServiceHistory } from '../../lab/retryBudgetCheck.js';
import type { CallRate } from '../owner/callRates.js';
import { type RetryCost, retryCostOf, unknownRetryCostOf } from './retryCost.js';
import { SharedRetryBudget } from './shared-retry-budget.js';

const BOUND = { ratio: 0.2, windowMs: 2_000, slack: 60 };
const SERVICES = ['desk', 'vault', 'store'] as const;
type Service = (typeof SERVICES)[number];

/** A service only calls those behind it. */
interface Scenario {
  readonly seed: number;
  readonly nodes: number;
  /** Calls per run: from desk to vault, from desk to store, from vault to store. */
  readonly calls: readonly [number, number, number];
  /** Share of the attempts that fail after the run, which may be repeated. */
  readonly failureShare: number;
  /** Steps after which one more node restarts, and knows nothing of its retries; 0 for none. */
  readonly restartEvery: number;
  /** Steps after which all nodes restart at once and know no rates of calls; 0 for never. */
  readonly restartAllEvery: number;
  /** Requests of clients for each service, in each step. */
  readonly steps: readonly (readonly [number, number, number])[];
}

const STEP_MS = 100;

/** Time after a restart of all nodes for which no node knows the calls of any service. */
const RATES_UNKNOWN_MS = 300;

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.nat(),
  nodes: fc.integer({ min: 1, max: 6 }),
  calls: fc.tuple(
    fc.constantFrom(0, 0.7, 1.4, 4),
    fc.constantFrom(0, 0.5),
    fc.constantFrom(0, 1, 2),
  ),
  failureShare: fc.constantFrom(0.05, 0.4, 0.9),
  restartEvery: fc.constantFrom(0, 1, 4, 20),
  restartAllEvery: fc.constantFrom(0, 3, 10),
  steps: fc.array(
    fc.tuple(
      fc.integer({ min: 0, max: 20 }),
      fc.integer({ min: 0, max: 8 }),
      fc.integer({ min: 0, max: 4 }),
    ),
    { minLength: 30, maxLength: 80 },
  ),
});

class Mesh {
  readonly histories: Record<Service, { requestTimes: number[]; arrivals: RequestEvent[] }> = {
    desk: { requestTimes: [], arrivals: [] },
    vault: { requestTimes: [], arrivals: [] },
    store: { requestTimes: [], arrivals: [] },
  };
  private readonly random: () => number;
  private readonly budgets: SharedRetryBudget[];
  private requests = 0;
  private ratesKnownFrom = 0;
  now = 0;

  constructor(private readonly scenario: Scenario) {
    this.random = seededRandom(scenario.seed);
    this.budgets = Array.from({ length: scenario.nodes }, () => this.createBudget());
  }

  /** Restarts the nodes in turn. */
  restart(index: number): void {
    this.budgets[index % this.budgets.length] = this.createBudget(this.now);
  }

  restartAll(): void {
    this.budgets.forEach((_budget, index) => {
      this.restart(index);
    });
    this.ratesKnownFrom = this.now + RATES_UNKNOWN_MS;
  }

  private createBudget(restartedAt?: number): SharedRetryBudget {
    const { nodes } = this.scenario;
    return new SharedRetryBudget({ bound: () => BOUND, nodes: () => nodes, restartedAt });
  }

  /** A client's request, with its retries. */
  request(service: Service): void {
    this.requests += 1;
    const budget = this.anyBudget();
    budget.noteRequest(service, this.now);
    this.histories[service].requestTimes.push(this.now);
    this.attempts(budget, service, `${this.requests}`);
  }

  /** A run, and as many repeats of it as fail and are paid for. All of them make the same calls. */
  private attempts(budget: SharedRetryBudget, service: Service, id: string): void {
    const cost = this.costOf(service, budget);
    const calls = this.drawCalls(service);
    this.run(service, id, calls);
    while (this.random() < this.scenario.failureShare) {
      if (budget.lacking(cost, this.now) !== undefined) {
        return;
      }
      budget.pay(cost, this.now);
      this.run(service, id, calls);
    }
  }

  private run(service: Service, id: string, calls: readonly Service[]): void {
    this.histories[service].arrivals.push({ requestId: id, at: this.now });
    for (const [index, called] of calls.entries()) {
      // The node beside the back end sends the call, and may retry it by itself.
      this.attempts(this.anyBudget(), called, `${id}.${index}`);
    }
  }

  private costOf(service: Service, budget: SharedRetryBudget): RetryCost {
    if (this.now >= this.ratesKnownFrom) {
      return retryCostOf(service, (name) => this.ratesOf(name));
    }
    return budget.mayOweRepeats(this.now)
      ? unknownRetryCostOf(service, SERVICES)
      : retryCostOf(service, () => undefined);
  }

  private ratesOf(service: string): readonly CallRate[] {
    const [deskToVault, deskToStore, vaultToStore] = this.scenario.calls;
    switch (service) {
      case 'desk':
        return [
          { service: 'vault', perRun: deskToVault },
          { service: 'store', perRun: deskToStore },
        ];
      case 'vault':
        return [{ service: 'store', perRun: vaultToStore }];
      default:
        return [];
    }
  }

  private drawCalls(service: Service): Service[] {
    return this.ratesOf(service).flatMap(({ service: called, perRun }) => {
      const whole = Math.floor(perRun);
      const count = whole + (this.random() < perRun - whole ? 1 : 0);
      return Array<Service>(count).fill(called as Service);
    });
  }

  private anyBudget(): SharedRetryBudget {
    return this.budgets[Math.floor(this.random() * this.budgets.length)] as SharedRetryBudget;
  }
}

function isDue(every: number, step: number): boolean {
  return every > 0 && step > 0 && step % every === 0;
}

function play(scenario: Scenario): readonly ServiceHistory[] {
  const mesh = new Mesh(scenario);
  for (const [step, counts] of scenario.steps.entries()) {
    mesh.now += STEP_MS;
    if (isDue(scenario.restartEvery, step)) {
      mesh.restart(step / scenario.restartEvery);
    }
    if (isDue(scenario.restartAllEvery, step)) {
      mesh.restartAll();
    }
    for (const [index, service] of SERVICES.entries()) {
      for (let request = 0; request < (counts[index] ?? 0); request += 1) {
        mesh.request(service);
      }
    }
  }
  return Object.values(mesh.histories);
}

describe('the retry budget of a mesh whose back ends call each other', () => {
  it('holds at every service, with the calls of repeated runs', () => {
    fc.assert(
      fc.property(scenarios, (scenario) => {
        for (const history of play(scenario)) {
          expect(budgetExcesses(history, BOUND)).toEqual([]);
        }
      }),
      { seed: 57, numRuns: 150 },
    );
  });
});
