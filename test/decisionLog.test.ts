/**
 * Guards against nodes that break a rule of the decision log, such as the limits on attempts and
 * repeats, while back ends show every fault of the stand-in, a node restarts and a new version
 * comes into force. The rules are checked on the nodes' own log lines.
 */
import { afterEach, beforeEach, expect, it } from 'vitest';
import type { Behaviour } from '../lab/applicationAnswer.js';
import { checkDecisionLog, type LogLine } from '../lab/decisionLogCheck.js';
import { pickOne, seededRandom } from '../lab/random.js';
import { call, SidecarMesh } from '../lab/sidecar-mesh.js';

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

const SEED = 20;
const REQUESTS = 160;
const CONCURRENCY = 8;
const MAX_ATTEMPTS = 2;
const FAULTS: readonly Behaviour[] = [
  'stay-silent',
  'reset',
  'turn-away',
  'answer-another',
  'cut-short',
  'answer-early',
];

it('no rule is broken while back ends lose or reject requests or spoil answers, and a node restarts', async () => {
  const random = seededRandom(SEED);
  const first = await mesh.add('desk');
  const second = await mesh.add('desk', { zone: 'zone-b' });
  const entry = await mesh.add('vault');
  const routes = [
    { name: 'read', service: 'desk', timeoutMs: 400 },
    { name: 'grant', service: 'desk', kind: 'unsafe' as const, timeoutMs: 400 },
    { name: 'other', service: 'vault' },
  ];
  mesh.configure(routes);
  await mesh.settled();
  for (const { application } of [first, second]) {
    for (let index = 0; index < REQUESTS; index += 1) {
      const isFaulty = random() < 0.3;
      const fault = pickOne(FAULTS, random);
      application.behaviours.push(isFaulty ? fault : 'serve');
    }
  }
  const send = async (worker: number) => {
    for (let index = worker; index < REQUESTS; index += CONCURRENCY) {
      const isGrant = index % 3 === 0;
      await call(entry.node.addresses.clients, `/${isGrant ? 'grant' : 'read'}/${index}`, {
        method: isGrant ? 'POST' : 'GET',
        ...(isGrant ? { body: 'b' } : {}),
      });
      if (index === REQUESTS / 2) {
        await second.restart();
        mesh.configure([...routes, { name: 'added', service: 'desk' }]);
      }
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, (_, worker) => send(worker)));

  const lines = mesh.machines.flatMap((machine) => machine.lines) as unknown as LogLine[];
  const breaches = checkDecisionLog(lines, {
    mayRepeat: (route) => route === 'read',
    maxAttempts: MAX_ATTEMPTS,
    repeatsAllowed: () => 64 + 0.2 * REQUESTS,
    windowMs: 10_000,
  });
  expect(breaches).toEqual([]);
  const failed = lines.filter((line) => line.event === 'request' && line.code !== 'answered');
  expect(failed.length).toBeGreaterThan(5);

  const grants = mesh.runs().filter((run) => run.target.startsWith('/grant/'));
  expect(new Set(grants.map((run) => run.requestId)).size).toBe(grants.length);
});
