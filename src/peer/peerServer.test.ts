import net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { ownerTask, peerReport } from '../../test/fixtures.js';
import { monotonicClock } from '../model/clock.js';
import { createSuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { Cancellation } from '../owner/cancellation.js';
import type { MessageBody } from '../owner/message-body.js';
import type { OwnerOutcome, OwnerTask } from '../owner/owner.js';
import { createPeerConnection, type PeerConnection } from './peerConnection.js';
import { MessageKind, type OfferMessage, type PeerMessage, taskFieldsOf } from './peerMessages.js';
import { PeerServer } from './peerServer.js';
import { RemoteOwner } from './remoteOwner.js';

const MEGABYTE = 1024 * 1024;

const ROUNDS = 20;

/** Below what an owner reads before it passes an answer on, and above what fits into one message. */
const ANSWER_BYTES = 250_000;

let server: PeerServer | undefined;
let port = 0;

afterEach(() => {
  server?.close();
});

/** Starts a node whose owner runs tasks with `run`; returns the client side of that owner. */
async function startOwner(
  run: (task: OwnerTask) => Promise<OwnerOutcome>,
  onPeerContact: () => void = () => {},
): Promise<RemoteOwner> {
  server = new PeerServer({
    clock: monotonicClock,
    timers: createSuspendAwareTimers({ clock: monotonicClock, onResume: () => {} }),
    owner: { run },
    report: () => peerReport(),
    configuration: () => undefined,
    directory: () => undefined,
    tenantUse: () => Buffer.from('[]'),
    grantQuota: () => undefined,
    readStore: () => Promise.reject(new Error('not used')),
    onAnnouncement: () => {},
    onPeerContact,
  });
  port = await server.listen('127.0.0.1', 0);
  return new RemoteOwner(`127.0.0.1:${port}`, {
    clock: monotonicClock,
    sender: () => ({ address: '127.0.0.1:1', version: 1 }),
    onReport: () => {},
    onFailure: () => {},
  });
}

function uploadOf(bytes: number): OwnerTask {
  const now = monotonicClock.now();
  const body: MessageBody = { kind: 'bytes', bytes: Buffer.alloc(bytes, 'x') };
  return ownerTask({
    method: 'POST',
    route: 'upload',
    repeatable: false,
    deadlineAt: now + 5_000,
    targetAt: now + 5_000,
    hasBody: true,
    bufferedBody: body,
    loadBody: () => Promise.resolve(body),
  });
}

/** The ingress' side of a connection, on which nothing is read until it is resumed. */
function connectPaused(): { connection: PeerConnection; messages: PeerMessage[] } {
  const messages: PeerMessage[] = [];
  const connection = createPeerConnection(net.connect(port, '127.0.0.1'));
  connection.setPaused(true);
  connection.setListener({ onMessage: (message) => messages.push(message), onClose: () => {} });
  return { connection, messages };
}

function offerOf(task: OwnerTask): OfferMessage {
  const { method, target, headers } = task;
  return {
    kind: MessageKind.Offer,
    sender: { address: '127.0.0.1:1', version: 1 },
    task: taskFieldsOf(task, monotonicClock.now()),
    method,
    target,
    headers,
    body: Buffer.alloc(0),
  };
}

function answerWith(text: string): OwnerOutcome {
  const body: MessageBody = { kind: 'bytes', bytes: Buffer.from(text) };
  return { kind: 'answer', status: 200, headers: [], body };
}

describe('PeerServer', () => {
  it('transfers a long request body and a long answer completely', async () => {
    const longText = 'y'.repeat(3 * MEGABYTE);
    const owner = await startOwner(async (task) => {
      const body = await task.loadBody();
      const transfer = body.kind === 'stream' ? 'streamed' : 'buffered';
      if (body.kind === 'stream') {
        for await (const _chunk of body.rest) {
          // Reads the body to its end.
        }
      }
      return answerWith(`${transfer}${longText}`);
    });
    const outcome = await owner.run(uploadOf(3 * MEGABYTE));
    if (outcome.kind !== 'answer' || outcome.body.kind !== 'stream') {
      throw new Error(`expected a streamed answer, got ${outcome.kind}`);
    }
    const chunks = [...outcome.body.head];
    for await (const chunk of outcome.body.rest) {
      chunks.push(chunk as Buffer);
    }
    expect(Buffer.concat(chunks).toString()).toBe(`streamed${longText}`);
  });

  it('runs the next task when the owner has not read the long body of the last one', async () => {
    const owner = await startOwner(async (task) => {
      const body = await task.loadBody();
      return answerWith(body.kind);
    });
    for (const round of [1, 2, 3]) {
      expect(await owner.run(uploadOf(3 * MEGABYTE)), `round ${round}`).toMatchObject({
        kind: 'answer',
      });
      expect(await owner.run(uploadOf(10)), `after round ${round}`).toMatchObject({
        kind: 'answer',
      });
    }
  });

  // Guards against stops that cut an answer on its way to the node of another machine (LOST).
  it('counts a task as in flight until its answer has been received to the end', async () => {
    let runs = 0;
    await startOwner(async () => {
      runs += 1;
      return answerWith('y'.repeat(ANSWER_BYTES));
    });
    const { connection, messages } = connectPaused();
    connection.send(offerOf(ownerTask({ deadlineAt: monotonicClock.now() + 5_000 })));
    await vi.waitFor(() => expect(runs).toBe(1));
    await delay(100);
    expect(server?.inFlight).toBe(1);
    connection.setPaused(false);
    await vi.waitFor(() => expect(server?.inFlight).toBe(0));
    expect(messages.at(-1)).toMatchObject({ kind: MessageKind.Chunk, isLast: true });
    connection.destroy();
  });

  // Guards against slots that stay taken for good when an ingress is gone without a trace.
  it.each(['its body', 'its outcome'])(
    'ends a task after its deadline although the ingress says nothing, while it waits for %s',
    async (awaited) => {
      const ends: string[] = [];
      await startOwner(async (task) => {
        const cancelled = new Promise<OwnerOutcome>((resolve) => {
          task.cancellation.onCancel(() => resolve({ kind: 'unknown', reason: 'cancelled' }));
        });
        const body = awaited === 'its body' ? task.loadBody().then(() => cancelled) : cancelled;
        const outcome = await body.catch(() => cancelled);
        ends.push(outcome.kind);
        return outcome;
      });
      const { connection } = connectPaused();
      const deadlineAt = monotonicClock.now() + 200;
      const offer = offerOf(ownerTask({ deadlineAt, repeatable: false }));
      connection.send(awaited === 'its body' ? { ...offer, body: undefined } : offer);
      await vi.waitFor(() => expect(ends).toEqual(['unknown']), { timeout: 1_000 });
      expect(monotonicClock.now()).toBeGreaterThan(deadlineAt);
      await vi.waitFor(() => expect(server?.inFlight).toBe(0));
      connection.destroy();
    },
  );

  // Guards against tasks that are sent to a back end though their cancellation has arrived.
  it.each(['with its offer', 'while the offer was read'])(
    'gives the owner no task as running whose cancellation arrived %s',
    async (when) => {
      const runs: boolean[] = [];
      let onOfferRead = (): void => {};
      const owner = await startOwner(
        async ({ cancellation }) => {
          runs.push(cancellation.cancelled);
          return answerWith('answer');
        },
        () => onOfferRead(),
      );
      for (let round = 0; round < ROUNDS; round += 1) {
        // Leaves a connection over which the next offer is sent at once.
        await owner.run(ownerTask({ deadlineAt: monotonicClock.now() + 5_000 }));
        runs.length = 0;
        const cancellation = new Cancellation();
        onOfferRead = () => cancellation.cancel();
        const abandoned = owner.run(
          ownerTask({ deadlineAt: monotonicClock.now() + 5_000, cancellation }),
        );
        if (when === 'with its offer') {
          cancellation.cancel();
        }
        await abandoned;
        onOfferRead = () => {};
        await vi.waitFor(() => expect(runs).toHaveLength(1));
        expect(runs, `round ${round}`).toEqual([true]);
      }
    },
  );
});
