/**
 * Uploads that are answered before their body has arrived: refused by the node, or answered early by
 * the back end. The answer must reach the client, and the connection must serve its next request
 * when the client has sent the rest. See docs/incidents/unread-uploads.md.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AnswerLook, readAnswer } from '../lab/answerReader.js';
import { type Behaviour, Framing, type LongAnswer } from '../lab/applicationAnswer.js';
import { connectRaw, getText, postHeadText } from '../lab/rawClient.js';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

const MIB = 1024 * 1024;

/** Above what a node reads before it offers an upload, and what an operating system buffers. */
const UPLOAD_BYTES = 12 * MIB;

/** Above what a node reads before it passes an answer on. */
const LONG_BYTES = 1_500_000;

const TIMEOUT_MS = 5_000;

const ROUTES = [
  { name: 'read', service: 'desk', timeoutMs: TIMEOUT_MS },
  { name: 'upload', service: 'desk', kind: 'upload', timeoutMs: TIMEOUT_MS },
  { name: 'nowhere', service: 'gone', kind: 'upload', timeoutMs: TIMEOUT_MS },
  { name: 'other', service: 'vault' },
] as const;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => mesh.close());

const clientsOf = ({ node }: Machine) => node.addresses.clients;

async function startMesh(): Promise<{ readonly desk: Machine; readonly vault: Machine }> {
  const desk = await mesh.add('desk');
  const vault = await mesh.add('vault');
  mesh.configure(ROUTES);
  await mesh.settled();
  // A back end runs few requests at once until it has answered one.
  await call(clientsOf(vault), '/read/0');
  return { desk, vault };
}

/** Sends half of an upload, waits for its answer, sends the rest and then a read. */
async function uploadThenRead(machine: Machine, path: string): Promise<string> {
  const half = Buffer.alloc(UPLOAD_BYTES / 2);
  const client = connectRaw(clientsOf(machine), postHeadText(path, 'upload', UPLOAD_BYTES));
  client.socket.write(half);
  await waitFor(() => client.received.includes('HTTP/1.1'));
  await delay(50);
  client.socket.write(half);
  client.socket.write(getText('/read/1', 'after'));
  await waitFor(() => client.hasEnded || client.received.includes('answer to after'));
  client.socket.destroy();
  return client.received;
}

const ENTRIES = ['desk', 'vault'] as const;

describe('the connection of an unfinished upload', () => {
  // Guards against connections that were never read again after a refused or an early answer.
  it.each(ENTRIES)('serves the next request after a refusal, beside %s', async (entry) => {
    const machines = await startMesh();
    const received = await uploadThenRead(machines[entry], '/nowhere/1');
    expect(received).toMatch(/^HTTP\/1.1 503 /);
    expect(received).toContain('answer to after');
  });

  it.each(ENTRIES)('serves the next request after a 404, beside %s', async (entry) => {
    const machines = await startMesh();
    const received = await uploadThenRead(machines[entry], '/none/1');
    expect(received).toMatch(/^HTTP\/1.1 404 /);
    expect(received).toContain('answer to after');
  });

  it.each(
    ENTRIES.flatMap((entry) =>
      (
        [
          ['answer-early', 200],
          ['turn-away', 503],
        ] as const
      ).map(([behaviour, status]) => [behaviour, status, entry] as const),
    ),
  )('serves the next request after %s of the back end (%i), beside %s', async (...args) => {
    const [behaviour, status, entry]: [Behaviour, number, 'desk' | 'vault'] = [...args];
    const machines = await startMesh();
    machines.desk.application.behaviours.push(behaviour);
    const received = await uploadThenRead(machines[entry], '/upload/1');
    expect(received).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(received).toContain('answer to after');
  });
});

// Guards against long early answers that were cut by the end of their upload.
it.each(
  ENTRIES.flatMap((entry) => Object.values(Framing).map((framing) => [framing, entry] as const)),
)(
  'a long answer that comes before the end of an upload is whole: %s, beside %s',
  async (...args) => {
    const [framing, entry] = args;
    const machines = await startMesh();
    const early: LongAnswer = { framing, bytes: LONG_BYTES, isEarly: true };
    machines.desk.application.behaviours.push(early);
    const answer = await readAnswer(clientsOf(machines[entry]), '/upload/1', {
      requestId: 'early',
      method: 'POST',
      body: Buffer.alloc(UPLOAD_BYTES),
      pauseMs: 200,
    });
    expect(answer).toMatchObject({ status: 200, look: AnswerLook.Whole, bytes: LONG_BYTES });
  },
);
