/**
 * Guards against the incident GONE: requests reached back ends long after their client had left. A
 * node learned of a closed connection only through the answer that was next on it: pipelined
 * requests behind the first went on, and so did the calls that back ends made for them. A node that
 * read a request together with the close of its connection still sent it. See
 * docs/incidents/work-for-departed-clients.md.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ApplicationStandIn } from '../lab/application-stand-in.js';
import { continuedRuns, type Departure, GONE_MS, lateArrivals } from '../lab/departureCheck.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from '../lab/labOutside.js';
import { connectRaw, getText, postHeadText, type RawClient } from '../lab/rawClient.js';
import { call, type Machine, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { type Sidecar, startSidecars } from '../lab/sidecarProcesses.js';

/** Time after which everything that still goes on for a client that has left has shown, in ms. */
const SETTLE_MS = 1_500;

/** Time in milliseconds for which a starved process gets no processor time. */
const STARVED_MS = 700;

const KIB = 1024;

const ROUTES = [
  { name: 'read', service: 'desk', timeoutMs: 8_000 },
  { name: 'upload', service: 'desk', kind: 'upload', timeoutMs: 8_000 },
  { name: 'check', service: 'vault', timeoutMs: 8_000 },
] as const;

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => mesh.close());

async function startMesh(slots = 4): Promise<{ readonly desk: Machine; readonly vault: Machine }> {
  const desk = await mesh.add('desk', { slots });
  const vault = await mesh.add('vault', { slots: 8 });
  for (const { application } of mesh.machines) {
    application.dropsAbandoned = true;
  }
  mesh.configure(ROUTES);
  await mesh.settled();
  // A back end runs few requests at once until it has answered one.
  await Promise.all(['/read/0', '/check/0'].map((path) => call(clientsOf(vault), path)));
  return { desk, vault };
}

const clientsOf = ({ node }: Machine) => node.addresses.clients;
const idsOf = (count: number, prefix: string) =>
  Array.from({ length: count }, (_, index) => `${prefix}${index}`);
const pipelined = (ids: readonly string[]) => ids.map((id) => getText(`/read/${id}`, id)).join('');
const arrivals = () => mesh.machines.flatMap(({ application }) => application.notices.arrivals);
const runsWith = (ids: readonly string[]) =>
  mesh.runs().filter(({ requestId }) => ids.includes(requestId));
const runsOf = (ids: readonly string[]) => runsWith(ids).length;
const answeredOf = (ids: readonly string[]) =>
  runsWith(ids).filter(({ answeredAt }) => answeredAt !== undefined).length;

/** Closes the connection at once; its requests' departures. */
function leave({ socket }: RawClient, ids: readonly string[]): Departure[] {
  const leftAt = performance.now();
  socket.destroy();
  return ids.map((requestId) => ({ requestId, leftAt }));
}

/** Takes the processor from every node of the mesh, and from the clients, for some time. */
function starve(): void {
  const until = performance.now() + STARVED_MS;
  while (performance.now() < until) {
    // Busy.
  }
}

async function expectNothingGoesOn(departures: readonly Departure[]): Promise<void> {
  await delay(SETTLE_MS);
  expect(lateArrivals(departures, arrivals())).toEqual([]);
  expect(continuedRuns(departures, mesh.runs())).toEqual([]);
}

describe('after a client has left', () => {
  it.each(['desk', 'vault'] as const)(
    'a pipelined request behind its first neither arrives nor runs on, from beside %s',
    async (entry) => {
      const machines = await startMesh(2);
      machines.desk.application.serviceMs = 400;
      const ids = idsOf(8, 'p');
      const client = connectRaw(clientsOf(machines[entry]), pipelined(ids));
      await waitFor(() => runsOf(ids) === 2);
      await expectNothingGoesOn(leave(client, ids));
    },
  );

  it('a pipelined request behind its first does not run on', async () => {
    const { desk, vault } = await startMesh(4);
    desk.application.serviceMs = 3_000;
    const ids = idsOf(4, 'p');
    const client = connectRaw(clientsOf(vault), pipelined(ids));
    await waitFor(() => runsOf(ids) === 4);
    await expectNothingGoesOn(leave(client, ids));
  });

  it('no call is made for a pipelined request behind its first', async () => {
    const { desk, vault } = await startMesh(4);
    desk.application.serviceMs = 100;
    desk.application.callsOf = ({ requestId }) =>
      requestId.startsWith('p')
        ? { address: clientsOf(desk), paths: ['/check/1', '/check/2'], afterMs: GONE_MS + 300 }
        : undefined;
    const ids = idsOf(4, 'p');
    const client = connectRaw(clientsOf(vault), pipelined(ids));
    await waitFor(() => runsOf(ids) === 4);
    await expectNothingGoesOn(leave(client, ids));
  });

  it('its pipelined requests end though large answers wait behind its first', async () => {
    const { desk, vault } = await startMesh(8);
    desk.application.serviceMs = 2_500;
    desk.application.fateOf = ({ requestId }) => (requestId === 'p0' ? {} : { slowness: 0.01 });
    desk.application.answerBytes = 64 * KIB;
    const ids = idsOf(4, 'p');
    const client = connectRaw(clientsOf(vault), pipelined(ids));
    await waitFor(() => answeredOf(ids) === 3);
    await delay(100);
    client.socket.write(getText('/read/p4', 'p4'));
    await delay(100);
    await expectNothingGoesOn(leave(client, [...ids, 'p4']));
  });

  it('an upload that waits for a slot does not arrive', async () => {
    const { desk, vault } = await startMesh(1);
    desk.application.serviceMs = 1_200;
    const running = connectRaw(clientsOf(desk), getText('/read/1', 'running'));
    await waitFor(() => runsOf(['running']) === 1);
    const size = 2_000 * KIB;
    const client = connectRaw(clientsOf(vault), postHeadText('/upload/1', 'u0', size));
    client.socket.write(Buffer.alloc(size));
    await waitFor(() => desk.node.status.owner.queued === 1);
    const departures = leave(client, ['u0']);
    await delay(GONE_MS);
    expect(desk.node.status.owner.queued).toBe(0);
    await expectNothingGoesOn(departures);
    running.socket.destroy();
  });

  it('a request that a starved node reads together with the close of its connection is not sent', async () => {
    const { vault } = await startMesh();
    const ids = idsOf(40, 's');
    const clients = ids.map(() => connectRaw(clientsOf(vault)));
    await waitFor(() => clients.every(({ socket }) => !socket.connecting));
    const departures = clients.flatMap((client, index) => {
      const id = ids[index] as string;
      client.socket.write(getText(`/read/${id}`, id));
      return leave(client, [id]);
    });
    starve();
    await expectNothingGoesOn(departures);
  });
});

describe('a client that stays', () => {
  it('gets its answer though the node was starved when it asked', async () => {
    const { vault } = await startMesh(8);
    const ids = idsOf(8, 's');
    const clients = ids.map(() => connectRaw(clientsOf(vault)));
    await waitFor(() => clients.every(({ socket }) => !socket.connecting));
    for (const [index, { socket }] of clients.entries()) {
      socket.write(getText(`/read/${index}`, ids[index] as string));
    }
    starve();
    await waitFor(() => clients.every(({ received }) => received.includes('answer to')));
    expect(runsOf(ids)).toBe(ids.length);
  });
});

describe('after a client has left, between processes', () => {
  const folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-leaving-'));
  let sidecars: Sidecar[] = [];

  afterEach(async () => {
    await Promise.all(sidecars.map(({ process }) => process.kill()));
    for (const { application } of sidecars) {
      application.close();
    }
    rmSync(folder, { recursive: true });
  });

  it('a request that a starved owner reads together with the close of its connection is not sent', async () => {
    const applications = ['desk', 'vault'].map((service) => new ApplicationStandIn(service, 40));
    await Promise.all(applications.map((application) => application.start()));
    mesh.configure(ROUTES);
    const configuration = mesh.store.kind(CONFIGURATION_KIND).get(CONFIGURATION_NAME)?.spec;
    sidecars = await startSidecars({
      applications,
      zones: ['zone-a'],
      folder,
      store: configuration as { version: number },
      nodeFlags: [],
    });
    const [desk, vault] = sidecars as [Sidecar, Sidecar];
    await waitFor(async () => (await call(vault.listen.clients, '/read/0')).status === 200);
    const departures: Departure[] = [];
    for (let round = 0; round < 3; round += 1) {
      // The owner has lately been in contact, so it is sent whole requests.
      await Promise.all(idsOf(8, 'w').map(() => call(vault.listen.clients, '/read/0')));
      desk.process.signal('SIGSTOP');
      const ids = idsOf(8, `r${round}-`);
      const clients = ids.map((id) => connectRaw(vault.listen.clients, getText(`/read/${id}`, id)));
      await delay(100);
      departures.push(...clients.flatMap((client, index) => leave(client, [ids[index] as string])));
      await delay(STARVED_MS);
      desk.process.signal('SIGCONT');
      await delay(300);
    }
    const arrived = applications.flatMap(({ notices }) => notices.arrivals);
    expect(lateArrivals(departures, arrived)).toEqual([]);
  });
});
