/**
 * Guards against the incident BUDGET: repeats piled up at a service beyond what is allowed. A
 * repeated run makes its calls anew; nothing paid for these, and calls earned retries as if clients
 * had sent them. See docs/incidents/work-for-departed-clients.md.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { budgetExcesses, repeatsIn } from '../lab/retryBudgetCheck.js';
import { type Machine, SidecarMesh } from '../lab/sidecar-mesh.js';
import { sendSteadily } from './steadyClients.js';

const BUDGET = { ratio: 0.2, windowMs: 3_000, slack: 40 };
const ROUTES = [
  { name: 'read', service: 'desk', timeoutMs: 2_000 },
  { name: 'check', service: 'vault', timeoutMs: 1_000 },
  { name: 'list', service: 'store', timeoutMs: 1_000 },
] as const;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => mesh.close());

const ingresses = () => mesh.machines.map(({ node }) => node.addresses.clients);
const arrivalsAt = (service: string) =>
  mesh.machines
    .filter(({ application }) => application.service === service)
    .flatMap(({ application }) => application.notices.arrivals);

/** Each run at the machine's back end calls this path twice. */
function callTwice({ application, node }: Machine, path: string): void {
  application.callsOf = () => ({ address: node.addresses.clients, paths: [path, path] });
}

describe('retries of requests whose runs make calls', () => {
  it('keep the repeats within the budget at every service on the way', async () => {
    const bounds = { retryBudget: BUDGET };
    for (const service of ['desk', 'desk', 'desk', 'vault', 'store']) {
      await mesh.add(service, { slots: 40, bounds });
    }
    mesh.configure(ROUTES);
    await mesh.settled();
    const [first, second, third, vault] = mesh.machines as [Machine, Machine, Machine, Machine];
    for (const desk of [first, second, third]) {
      callTwice(desk, '/check/1');
    }
    callTwice(vault, '/list/1');
    const load = { addresses: ingresses, perSecond: 100, paths: ['/read/1'] };
    await sendSteadily({ ...load, seconds: 2 });
    first.application.behaviours.push(...Array(600).fill('reset'));
    const results = await sendSteadily({ ...load, seconds: 5 });
    const requestTimes = results.map(({ sentAt }) => sentAt);
    const excesses = {
      desk: budgetExcesses({ requestTimes, arrivals: arrivalsAt('desk') }, BUDGET),
      vault: budgetExcesses({ requestTimes: [], arrivals: arrivalsAt('vault') }, BUDGET),
      store: budgetExcesses({ requestTimes: [], arrivals: arrivalsAt('store') }, BUDGET),
    };
    expect(excesses).toEqual({ desk: [], vault: [], store: [] });
    expect(repeatsIn(arrivalsAt('desk')).length).toBeGreaterThan(0);
  });
});
