/**
 * Pipelining clients, which send requests before the earlier ones are answered: each request that
 * ran is answered, in order, also when the node stops or the client sends something that is not a
 * request.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { connectRaw, getText } from '../lab/rawClient.js';
import { SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

async function oneMachine() {
  const machine = await mesh.add('desk');
  mesh.configure([
    { name: 'read', service: 'desk', timeoutMs: 2_000 },
    { name: 'other', service: 'desk' },
  ]);
  await mesh.settled();
  return machine;
}

const requestText = (id: string) => getText(`/read/${id}`, id);

function answersIn(received: string): string[] {
  return [...received.matchAll(/answer to (\S+?)(?=HTTP|\r|$)/g)].map(([, id]) => id ?? '');
}

describe('a pipelining client', () => {
  it('gets its answers in the order of its requests', async () => {
    const machine = await oneMachine();
    const text = ['a', 'b', 'c'].map(requestText).join('');
    const client = connectRaw(machine.node.addresses.clients, text);
    await waitFor(() => answersIn(client.received).length === 3);
    expect(answersIn(client.received)).toEqual(['a', 'b', 'c']);
    client.socket.destroy();
  });

  it('gets an answer to each request in flight at a planned stop', async () => {
    const machine = await oneMachine();
    machine.application.serviceMs = 300;
    const text = ['a', 'b'].map(requestText).join('');
    const client = connectRaw(machine.node.addresses.clients, text);
    await waitFor(() => mesh.runs().length === 2);
    const stopped = machine.node.stop();
    await waitFor(() => client.hasEnded);
    expect(answersIn(client.received)).toEqual(['a', 'b']);
    await stopped;
  });

  it('that never pauses is disconnected by a planned stop after the last answer that is due', async () => {
    const owner = await mesh.add('desk', { slots: 20 });
    const machine = await mesh.add('vault');
    mesh.configure([
      { name: 'read', service: 'desk', timeoutMs: 2_000 },
      { name: 'other', service: 'vault' },
    ]);
    await mesh.settled();
    owner.application.serviceMs = 300;
    const client = connectRaw(machine.node.addresses.clients, requestText('r0'));
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      client.socket.write(requestText(`r${sent}`));
    }, 100);
    await waitFor(() => mesh.runs().length >= 2);
    const startedAt = performance.now();
    const stopped = machine.node.stop();
    await waitFor(() => client.hasEnded);
    clearInterval(timer);
    expect(performance.now() - startedAt).toBeLessThan(3_500);
    expect(answersIn(client.received)).toEqual(mesh.runs().map(({ requestId }) => requestId));
    await stopped;
  });

  it('gets the answers that are due before the 400 for text that is not a request', async () => {
    const machine = await oneMachine();
    machine.application.serviceMs = 200;
    const text = `${requestText('a')}no request at all\r\n\r\n`;
    const client = connectRaw(machine.node.addresses.clients, text);
    await waitFor(() => client.hasEnded);
    expect(client.received.indexOf('answer to a')).toBeGreaterThan(0);
    expect(client.received.indexOf('400 Bad Request')).toBeGreaterThan(
      client.received.indexOf('answer to a'),
    );
  });
});
