/** A mesh whose back ends fail in every way they can: its own logs show no broken rule. */
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
const AT_ONCE = 8;
const MAX_ATTEMPTS = 2;
const FAULTS: readonly Behaviour[] = [
  'stay-silent',
  'reset',
  'turn-away',
  'answer-another',
  'cut-short',
  'answer-early',
];

it('keeps its promises while back ends lose, spoil and reject, and a node dies', async () => {
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
    for (let index = worker; index < REQUESTS; index += AT_ONCE) {
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
  await Promise.all(Array.from({ length: AT_ONCE }, (_, worker) => send(worker)));

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
