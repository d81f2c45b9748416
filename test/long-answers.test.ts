/**
 * Guards against the incidents of broken and silent answers: an answer of more than 256 KiB is
 * passed on while it arrives, and what went wrong behind its head was noticed by nobody. See
 * docs/incidents/broken-answers.md and silent-answers.md.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AnswerLook, readAnswer } from '../lab/answerReader.js';
import { Break, Framing, type LongAnswer } from '../lab/applicationAnswer.js';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

/** Above what a node reads before it passes an answer on. */
const LONG_BYTES = 1_500_000;

const TIMEOUT_MS = 1_500;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => mesh.close());

async function startMesh(slots = 4): Promise<{ readonly desk: Machine; readonly vault: Machine }> {
  const desk = await mesh.add('desk', { slots });
  const vault = await mesh.add('vault');
  mesh.configure([
    { name: 'read', service: 'desk', timeoutMs: TIMEOUT_MS },
    { name: 'grant', service: 'desk', kind: 'unsafe', timeoutMs: TIMEOUT_MS },
    { name: 'other', service: 'vault' },
  ]);
  await mesh.settled();
  // A back end runs few requests at once until it has answered one.
  await call(clientsOf(vault), '/read/0');
  return { desk, vault };
}

const clientsOf = ({ node }: Machine) => node.addresses.clients;

const linesOf = ({ lines }: Machine, requestId: string) =>
  lines.filter((line) => line.requestId === requestId);

const ENTRIES = ['desk', 'vault'] as const;

/** What can be told from the end of an answer: a close ends one without a length in order. */
const BREAKS = [Framing.Length, Framing.Chunks, Framing.Close].flatMap((framing) =>
  [Break.Reset, Break.Close, Break.Nonsense].flatMap((breaksBy) =>
    framing === Framing.Close && breaksBy !== Break.Reset ? [] : [{ framing, breaksBy }],
  ),
);

/** Clients by where they ask, their version of HTTP, and their pause in reading, in ms. */
const READERS = ENTRIES.flatMap((entry) =>
  (['1.1', '1.0'] as const).flatMap((version) =>
    [0, 200].map((pauseMs) => [entry, version, pauseMs] as const),
  ),
);

describe('a long answer', () => {
  // Guards against halves of answers that looked complete to their clients (MIXED).
  it.each(READERS)(
    'that breaks off looks broken: asked beside %s by HTTP/%s with a pause of %i ms',
    async (entry, version, pauseMs) => {
      const machines = await startMesh();
      for (const { framing, breaksBy } of BREAKS) {
        const broken = { framing, breaksBy, bytes: LONG_BYTES };
        machines.desk.application.behaviours.push(broken);
        const reading = { requestId: `${framing}-${breaksBy}`, version, pauseMs };
        const answer = await readAnswer(clientsOf(machines[entry]), '/read/1', reading);
        expect(answer, reading.requestId).toMatchObject({ status: 200, look: AnswerLook.Broken });
      }
    },
  );

  it.each(READERS)(
    'that is whole looks whole: asked beside %s by HTTP/%s with a pause of %i ms',
    async (entry, version, pauseMs) => {
      const machines = await startMesh();
      for (const framing of [Framing.Length, Framing.Chunks, Framing.Close]) {
        machines.desk.application.behaviours.push({ framing, bytes: LONG_BYTES });
        const reading = { requestId: framing, version, pauseMs };
        const answer = await readAnswer(clientsOf(machines[entry]), '/read/1', reading);
        const whole = { status: 200, look: AnswerLook.Whole, bytes: LONG_BYTES };
        expect(answer, framing).toMatchObject(whole);
      }
    },
  );
});

it.each(ENTRIES)(
  'a long answer keeps the length that its back end stated, from beside %s',
  async (entry) => {
    const machines = await startMesh();
    machines.desk.application.behaviours.push({ framing: Framing.Length, bytes: LONG_BYTES });
    const answer = await readAnswer(clientsOf(machines[entry]), '/read/1', { requestId: 'stated' });
    expect(answer.headers['content-length']).toBe(String(LONG_BYTES));
  },
);

/** A client must have its final answer so long after the time limit, in milliseconds. */
const FINAL_ANSWER_MS = 500;

const silentOnes = Object.values(Framing).map((framing) => ({
  framing,
  bytes: LONG_BYTES,
  breaksBy: Break.Silence,
}));

const cutAtOf = (requestId: string) =>
  mesh.runs().find((run) => run.requestId === requestId)?.cutAt;

describe('the time limit of a request', () => {
  // Guards against requests that were never ended, as their back end fell silent in its answer.
  it.each(ENTRIES)('holds in the middle of a long answer, asked beside %s', async (entry) => {
    const machines = await startMesh();
    const { lines, node } = machines[entry];
    machines.desk.application.behaviours.push(...silentOnes);
    const answers = await Promise.all(
      silentOnes.map(({ framing }) =>
        readAnswer(clientsOf(machines[entry]), '/read/1', { requestId: framing }),
      ),
    );
    for (const { look, status, tookMs } of answers) {
      expect({ look, status }).toEqual({ look: AnswerLook.Broken, status: 200 });
      expect(tookMs).toBeGreaterThan(TIMEOUT_MS - 20);
      expect(tookMs).toBeLessThan(TIMEOUT_MS + FINAL_ANSWER_MS);
    }
    await waitFor(() => silentOnes.every(({ framing }) => cutAtOf(framing) !== undefined));
    await waitFor(() => node.status.inFlight === 0);
    const codes = lines.filter(({ event }) => event === 'request');
    expect(codes).toMatchObject(
      Array(silentOnes.length).fill({ code: 'answer-broken', brokenBy: 'deadline' }),
    );
  });

  it.each(ENTRIES)('holds for a client that does not read, beside %s', async (entry) => {
    const machines = await startMesh();
    machines.desk.application.behaviours.push({ framing: Framing.Length, bytes: 20 * LONG_BYTES });
    const startedAt = performance.now();
    const reading = { requestId: 'unread', pauseMs: 3 * TIMEOUT_MS };
    const answer = readAnswer(clientsOf(machines[entry]), '/read/1', reading);
    await waitFor(() => cutAtOf('unread') !== undefined);
    expect((cutAtOf('unread') ?? 0) - startedAt).toBeLessThan(TIMEOUT_MS + FINAL_ANSWER_MS);
    expect((await answer).look).toBe(AnswerLook.Broken);
  });
});

describe('a client that leaves in the middle of a long answer', () => {
  it.each(ENTRIES)('ends the run of a back end that is silent, from beside %s', async (entry) => {
    const machines = await startMesh();
    for (const long of silentOnes) {
      machines.desk.application.behaviours.push(long);
      const requestId = `left-${long.framing}`;
      const waitMs = 300;
      const reading = { requestId, waitMs };
      const answer = await readAnswer(clientsOf(machines[entry]), '/read/1', reading);
      expect(answer.look).toBe(AnswerLook.Unended);
      const leftAt = performance.now();
      await waitFor(() => cutAtOf(requestId) !== undefined);
      expect((cutAtOf(requestId) ?? 0) - leftAt).toBeLessThan(FINAL_ANSWER_MS);
    }
  });
});

/** Asks for an answer that breaks off; resolves when the owner has noticed it. */
async function readBroken(machines: { desk: Machine }, machine: Machine, requestId: string) {
  const answer = await readAnswer(clientsOf(machine), '/read/1', { requestId });
  expect(answer.look).toBe(AnswerLook.Broken);
  await waitFor(() => machines.desk.node.status.owner.inFlight === 0);
}

describe('the owner of a long answer', () => {
  // Guards against back ends that got more requests than slots, as a slot was free at the head.
  it.each(ENTRIES)('holds the slot until the end, asked beside %s', async (entry) => {
    const machines = await startMesh(1);
    const { desk } = machines;
    desk.application.behaviours.push(silentOnes[0] as LongAnswer);
    const broken = readBroken(machines, machines[entry], 'first');
    await waitFor(() => mesh.runs().some(({ answeredAt }) => answeredAt !== undefined));
    await delay(200);
    expect(desk.node.status.owner.inFlight).toBe(1);
    const second = await call(clientsOf(desk), '/read/2', { requestId: 'second', deadlineMs: 300 });
    expect(second.status).toBe(503);
    expect(desk.application.notices.arrivals.map(({ requestId }) => requestId)).not.toContain(
      'second',
    );
    await broken;
    expect((await call(clientsOf(desk), '/read/3')).status).toBe(200);
  });

  it.each(ENTRIES)('logs how it broke off, asked beside %s', async (entry) => {
    const machines = await startMesh();
    const long = { framing: Framing.Length, bytes: LONG_BYTES, breaksBy: Break.Reset };
    machines.desk.application.behaviours.push(long);
    await readBroken(machines, machines[entry], 'cut');
    await waitFor(() => linesOf(machines.desk, 'cut').some(({ event }) => event === 'task'));
    const task = linesOf(machines.desk, 'cut').find(({ event }) => event === 'task');
    expect(task).toMatchObject({ result: 'broken-off connection-lost' });
    expect(task?.restMs).toBeGreaterThanOrEqual(0);
  });

  it('counts a back end as failing that breaks its answers off or falls silent in them', async () => {
    const machines = await startMesh();
    const { desk } = machines;
    const before = desk.node.status.owner.failureShare;
    const long = { framing: Framing.Chunks, bytes: LONG_BYTES };
    desk.application.behaviours.push({ ...long, breaksBy: Break.Close });
    await readBroken(machines, desk, 'cut');
    const afterCut = desk.node.status.owner.failureShare;
    expect(afterCut).toBeGreaterThan(before);
    desk.application.behaviours.push({ ...long, breaksBy: Break.Silence });
    await readBroken(machines, desk, 'silent');
    expect(desk.node.status.owner.failureShare).toBeGreaterThan(afterCut);
  });

  it('does not count a back end as failing whose answer is not read', async () => {
    const { desk } = await startMesh();
    desk.application.behaviours.push({ framing: Framing.Length, bytes: 20 * LONG_BYTES });
    const reading = { requestId: 'unread', pauseMs: 2 * TIMEOUT_MS };
    const answer = readAnswer(clientsOf(desk), '/read/1', reading);
    await waitFor(() => linesOf(desk, 'unread').some(({ event }) => event === 'task'));
    const task = linesOf(desk, 'unread').find(({ event }) => event === 'task');
    expect(task).toMatchObject({ result: 'broken-off unread' });
    expect(desk.node.status.owner.failureShare).toBe(0);
    await answer;
  });

  it('counts a request as in flight when its back end crashes in its answer', async () => {
    const { desk, vault } = await startMesh();
    desk.application.behaviours.push(silentOnes[0] as LongAnswer);
    const answer = readAnswer(clientsOf(vault), '/read/1', { requestId: 'crashed' });
    await waitFor(() => mesh.runs().some(({ requestId }) => requestId === 'crashed'));
    await delay(200);
    desk.application.crash();
    expect((await answer).look).toBe(AnswerLook.Broken);
    await waitFor(() => desk.lines.some(({ event }) => event === 'crash'));
    const line = linesOf(vault, 'crashed').find(({ event }) => event === 'request');
    const crash = desk.lines.find(({ event }) => event === 'crash');
    expect(crash?.suspects).toEqual([line?.fingerprint]);
  });
});

describe('the log of a request with a long answer', () => {
  // Guards against requests that were logged as answered though their answers broke off.
  it.each(ENTRIES)('says that the answer broke off, asked beside %s', async (entry) => {
    const machines = await startMesh();
    const long = { framing: Framing.Length, bytes: LONG_BYTES, breaksBy: Break.Close };
    machines.desk.application.behaviours.push(long);
    const machine = machines[entry];
    const answer = await readAnswer(clientsOf(machine), '/read/1', { requestId: 'cut' });
    expect(answer).toMatchObject({ status: 200, look: AnswerLook.Broken });
    await waitFor(() => linesOf(machine, 'cut').some(({ event }) => event === 'request'));
    const line = linesOf(machine, 'cut').find(({ event }) => event === 'request');
    expect(line).toMatchObject({ status: 200, code: 'answer-broken', brokenBy: 'lost' });
    expect(line?.offers).toMatchObject([{ result: 'broken-off spoilt-answer' }]);
  });

  it('has the time until the last byte, also for one that is logged for its status', async () => {
    const { desk, vault } = await startMesh();
    desk.application.fateOf = () => ({ status: 500 });
    desk.application.answerBytes = 8 * LONG_BYTES;
    const pauseMs = 400;
    const reading = { requestId: 'slow', pauseMs };
    const answer = await readAnswer(clientsOf(vault), '/read/1', reading);
    expect(answer).toMatchObject({ status: 500, look: AnswerLook.Whole });
    await waitFor(() => linesOf(vault, 'slow').length > 0);
    const [line] = linesOf(vault, 'slow');
    expect(line).toMatchObject({ status: 500, code: 'answered' });
    expect(Number(line?.durationMs)).toBeGreaterThan(pauseMs);
  });
});
