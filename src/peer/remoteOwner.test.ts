import net, { type AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { ownerTask, peerReport } from '../../test/fixtures.js';
import { monotonicClock } from '../model/clock.js';
import { Cancellation } from '../owner/cancellation.js';
import type { OwnerOutcome, OwnerTask } from '../owner/owner.js';
import { createPeerConnection, type PeerConnection } from './peerConnection.js';
import { MessageKind, type PeerMessage } from './peerMessages.js';
import { RemoteOwner } from './remoteOwner.js';

/** Longer than the timeouts of an offer and of a ping together, in milliseconds. */
const LONG_MS = 1_200;

const ANSWER: PeerMessage = {
  kind: MessageKind.Answer,
  status: 200,
  headers: ['x-kind', 'true'],
  body: Buffer.from('whole'),
  report: peerReport(),
};

let server: net.Server | undefined;
const sockets: net.Socket[] = [];

afterEach(() => {
  server?.close();
  for (const socket of sockets.splice(0)) {
    socket.destroy();
  }
});

type MessageHandler = (message: PeerMessage, connection: PeerConnection) => void;

/** Starts a node that handles each message with `handle`, and a `RemoteOwner` for it. */
async function startPeer(handle: MessageHandler) {
  const received: PeerMessage[] = [];
  const failures: string[] = [];
  let connections = 0;
  const listening = net.createServer((socket) => {
    sockets.push(socket);
    connections += 1;
    const connection = createPeerConnection(socket);
    connection.setListener({
      onMessage: (message) => {
        received.push(message);
        handle(message, connection);
      },
      onClose: () => {},
    });
  });
  server = listening;
  await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
  const owner = new RemoteOwner(`127.0.0.1:${(listening.address() as AddressInfo).port}`, {
    clock: monotonicClock,
    sender: () => ({ address: '127.0.0.1:1', version: 1 }),
    onReport: () => {},
    onFailure: (cause) => failures.push(cause),
  });
  const kinds = () => received.map(({ kind }) => kind);
  return { owner, received, kinds, failures, connections: () => connections };
}

function task(repeatable: boolean): OwnerTask {
  const now = monotonicClock.now();
  return ownerTask({ repeatable, deadlineAt: now + 5_000, targetAt: now + 1_000 });
}

/** Admits an offer without a body; answers an offer with a body and a chunk. */
const serve: MessageHandler = (message, connection) => {
  if (message.kind === MessageKind.Offer && !message.body) {
    connection.send({ kind: MessageKind.Admitted });
  } else if (message.kind === MessageKind.Offer || message.kind === MessageKind.Chunk) {
    connection.send(ANSWER);
  }
};

describe('RemoteOwner', () => {
  it('learns from the owner why an answer broke off before enough of it had arrived', async () => {
    const { owner, failures } = await startPeer((message, connection) => {
      if (message.kind !== MessageKind.Offer) {
        return;
      }
      connection.send({ ...ANSWER, body: undefined });
      connection.send({ kind: MessageKind.Chunk, bytes: Buffer.from('part'), isLast: false });
      connection.send({
        kind: MessageKind.Chunk,
        bytes: Buffer.alloc(0),
        isLast: false,
        breakReason: 'connection-lost',
      });
      connection.end();
    });
    const outcome = await owner.run(task(true));
    expect(outcome).toEqual({ kind: 'unknown', reason: 'connection-lost' });
    // The node itself is well.
    expect(failures).toEqual([]);
  });

  it.each([true, false])(
    'reports a task as not run if the owner does not respond to the offer (repeatable: %s)',
    async (repeatable) => {
      const { owner, received, failures } = await startPeer(() => {});
      const outcome = await owner.run(task(repeatable));
      expect(outcome).toEqual({ kind: 'not-run', reason: 'peer-silent', arrived: false });
      // Only the head has arrived; without the body the owner cannot have run the task.
      expect(received).toMatchObject([{ kind: MessageKind.Offer, method: 'GET', target: '/' }]);
      expect(received.flatMap((message) => ('body' in message ? [message.body] : []))).toEqual([
        undefined,
      ]);
      expect(failures).toEqual(['silent']);
    },
  );

  it('offers a task with its body only if it is repeatable and contact is recent', async () => {
    const { owner, received, connections } = await startPeer(serve);
    for (const repeatable of [true, true, false]) {
      expect(await owner.run(task(repeatable))).toMatchObject({ kind: 'answer', status: 200 });
    }
    const offers = received.flatMap((message) =>
      message.kind === MessageKind.Offer ? [message.body !== undefined] : [],
    );
    expect(offers).toEqual([false, true, false]);
    expect(connections()).toBe(1);
  });

  it('reports an unknown outcome if the connection is lost after the admission', async () => {
    const { owner } = await startPeer((message, connection) => {
      if (message.kind === MessageKind.Offer) {
        connection.send({ kind: MessageKind.Admitted });
      } else {
        connection.destroy();
      }
    });
    expect(await owner.run(task(true))).toEqual({ kind: 'unknown', reason: 'peer-lost' });
  });

  it('waits beyond the timeouts for an owner that has queued the task', async () => {
    const { owner } = await startPeer((_message, connection) => {
      connection.send({ kind: MessageKind.Queued });
      setTimeout(() => {
        connection.send({
          kind: MessageKind.TurnedAway,
          outcome: { kind: 'not-run', reason: 'busy', arrived: false, retryAfterMs: 40 },
          report: peerReport(),
        });
      }, LONG_MS);
    });
    expect(await owner.run(task(false))).toEqual({
      kind: 'not-run',
      reason: 'busy',
      arrived: false,
      retryAfterMs: 40,
    });
  });

  it('pings a slow owner and keeps waiting while it answers the pings', async () => {
    let isFirst = true;
    const { owner, kinds } = await startPeer((message, connection) => {
      if (message.kind === MessageKind.Ping) {
        connection.send({ kind: MessageKind.Pong });
      } else if (isFirst) {
        isFirst = false;
        serve(message, connection);
      } else if (message.kind === MessageKind.Chunk) {
        setTimeout(() => connection.send(ANSWER), LONG_MS);
      } else {
        serve(message, connection);
      }
    });
    expect(await owner.run(task(true))).toMatchObject({ kind: 'answer' });
    expect(kinds()).toContain(MessageKind.Ping);
  });

  it('reports a repeatable task as `silent` early and accepts the late answer', async () => {
    let silentConnection: PeerConnection | undefined;
    let isSilent = false;
    const { owner, failures } = await startPeer((message, connection) => {
      if (isSilent) {
        silentConnection = connection;
      } else {
        serve(message, connection);
      }
    });
    await owner.run(task(true));
    isSilent = true;
    const startedAt = monotonicClock.now();
    let outcome: Promise<OwnerOutcome> | undefined;
    await new Promise<void>((resolve) => {
      const onProgress = (stage: string) => stage === 'silent' && resolve();
      outcome = owner.run({ ...task(true), onProgress });
    });
    expect(monotonicClock.now() - startedAt).toBeLessThan(LONG_MS);
    expect(failures).toEqual(['silent']);
    silentConnection?.send(ANSWER);
    expect(await outcome).toMatchObject({ kind: 'answer', status: 200 });
  });

  it('ends a task at a silent owner with an unknown outcome when it is cancelled', async () => {
    let isSilent = false;
    const { owner } = await startPeer((message, connection) => {
      if (!isSilent) {
        serve(message, connection);
      }
    });
    await owner.run(task(true));
    isSilent = true;
    const cancellation = new Cancellation();
    const onProgress = (stage: string) => stage === 'silent' && cancellation.cancel();
    const outcome = await owner.run({ ...task(true), cancellation, onProgress });
    expect(outcome).toEqual({ kind: 'unknown', reason: 'cancelled' });
  });

  it('closes the idle connections when an exchange on one of them has timed out', async () => {
    const silentConnections = new Set<PeerConnection>();
    const { owner, connections } = await startPeer((message, connection) => {
      if (!silentConnections.has(connection)) {
        serve(message, connection);
        usedConnections.add(connection);
      }
    });
    const usedConnections = new Set<PeerConnection>();
    await Promise.all([owner.run(task(false)), owner.run(task(false)), owner.run(task(false))]);
    expect(connections()).toBe(3);
    for (const connection of usedConnections) {
      silentConnections.add(connection);
    }
    const first = await owner.run(task(false));
    expect(first).toMatchObject({ kind: 'not-run', reason: 'peer-silent' });
    expect(await owner.run(task(false))).toMatchObject({ kind: 'answer' });
    expect(connections()).toBe(4);
  });

  it('reports a task as not run if the node refuses connections', async () => {
    const { owner } = await startPeer(serve);
    await owner.run(task(true));
    server?.close();
    for (const socket of sockets.splice(0)) {
      socket.destroy();
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
    const outcome = await owner.run(task(true));
    expect(outcome).toEqual({ kind: 'not-run', reason: 'peer-unreachable', arrived: false });
  });
});
