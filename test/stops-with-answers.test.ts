/**
 * Planned stops while answers are on their way: to clients that read slowly, or to the node of
 * another machine. Guards against the incident of answers that a stop cut although their requests
 * had run and there was time left. See docs/incidents/answers-cut-by-stops.md.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AnswerLook, readAnswer } from '../lab/answerReader.js';
import { Break, Framing } from '../lab/applicationAnswer.js';
import { connectRaw, getText } from '../lab/rawClient.js';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

const GRACE_MS = 4_000;

/** After this part of the grace a node accepts no requests; see `gracefulShutdown.ts`. */
const ACCEPTING_SHARE = 0.48;

/** Below what a node reads before it passes an answer on. */
const ANSWER_BYTES = 250_000;

/** So many answers don't fit into the buffers of the operating system. */
const ANSWERS = 60;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => mesh.close());

const clientsOf = ({ node }: Machine) => node.addresses.clients;

async function startMesh(): Promise<{ readonly desk: Machine; readonly vault: Machine }> {
  const desk = await mesh.add('desk', { slots: ANSWERS, graceMs: GRACE_MS });
  const vault = await mesh.add('vault', { graceMs: GRACE_MS });
  mesh.configure([
    { name: 'read', service: 'desk', timeoutMs: 4 * GRACE_MS, targetLatencyMs: GRACE_MS },
    { name: 'other', service: 'vault' },
  ]);
  await mesh.settled();
  // A back end runs few requests at once until it has answered one.
  await call(clientsOf(vault), '/read/0');
  return { desk, vault };
}

const ENTRIES = ['desk', 'vault'] as const;

describe('a planned stop of the node that a client uses', () => {
  it.each(ENTRIES)(
    'cuts no answer that waits to be sent to a slow client, beside %s',
    async (entry) => {
      const machines = await startMesh();
      const { node } = machines[entry];
      machines.desk.application.answerBytes = ANSWER_BYTES;
      const ids = Array.from({ length: ANSWERS }, (_, index) => `s${index}`);
      const client = connectRaw(clientsOf(machines[entry]));
      client.socket.pause();
      client.socket.write(ids.map((id) => getText(`/read/${id}`, id)).join(''));
      const hasRun = (id: string) => mesh.runs().some(({ requestId }) => requestId === id);
      await waitFor(() => ids.every(hasRun));
      const startedAt = performance.now();
      const stopped = node.stop();
      await delay(ACCEPTING_SHARE * GRACE_MS + 500);
      client.socket.resume();
      await waitFor(() => client.hasEnded);
      expect(performance.now() - startedAt).toBeLessThan(GRACE_MS);
      const answers = client.received.split('HTTP/1.1 200 OK\r\n').slice(1);
      expect(answers).toHaveLength(ANSWERS);
      expect(answers.every((answer) => answer.length > ANSWER_BYTES)).toBe(true);
      await stopped;
    },
  );

  it.each(['1.0', '1.1'] as const)(
    'shows a client of HTTP/%s that an answer is cut at the end of the grace',
    async (version) => {
      const { desk } = await startMesh();
      const silent = { framing: Framing.Close, bytes: 1_500_000, breaksBy: Break.Silence };
      desk.application.behaviours.push(silent);
      const answer = readAnswer(clientsOf(desk), '/read/1', { requestId: 'silent', version });
      await waitFor(() => mesh.runs().some(({ requestId }) => requestId === 'silent'));
      const stopped = desk.node.stop();
      expect(await answer).toMatchObject({ status: 200, look: AnswerLook.Broken });
      await stopped;
      const lines = () => desk.lines.filter(({ event }) => event === 'request');
      await waitFor(() => lines().length > 0);
      expect(lines()).toMatchObject([{ code: 'answer-broken', brokenBy: 'stopping' }]);
    },
  );
});
