/**
 * Tenants' API keys over real sockets. If tenants are configured, only requests with a valid key
 * are served on routes that are not public, a removed key is refused in time, and no key reaches a
 * back end or a log line.
 */
import http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  call,
  type Machine,
  type MachineOptions,
  SidecarMesh,
  waitFor,
} from '../lab/sidecar-mesh.js';

const KEY = 'spindlepaddle-api-key';
const TENANT = 'spindlepaddle-tenant';
const ROUTES = [
  { name: 'read', service: 'desk' },
  { name: 'upload', service: 'desk', kind: 'upload' },
  { name: 'open', service: 'desk', isPublic: true },
  { name: 'store', service: 'vault' },
] as const;
const ACME = { name: 'acme', apiKeys: ['acme-key'] };
const BETA = { name: 'beta', apiKeys: ['beta-key'], priority: 0 };

let mesh: SidecarMesh;

beforeEach(() => {
  mesh = new SidecarMesh();
});

afterEach(() => {
  mesh.close();
});

/**
 * Starts two machines. Only the second serves `desk`, so that requests at the first take two hops.
 */
async function twoMachines(options: MachineOptions = {}) {
  const first = await mesh.add('vault', options);
  const second = await mesh.add('desk', options);
  mesh.configure(ROUTES, { tenants: [ACME, BETA] });
  await mesh.settled();
  return { first, second, address: first.node.addresses.clients };
}

/** Header fields, targets and bodies of all requests that back ends received, as JSON. */
function allReceived(): string {
  return JSON.stringify(mesh.runs().map(({ headers, target, body }) => [headers, target, body]));
}

describe('a request with a key', () => {
  it('reaches the back end with the name of its tenant and without the key', async () => {
    const { address } = await twoMachines();
    const headers = { [KEY]: 'acme-key', [TENANT]: 'beta', Spindlepaddle_Tenant: 'beta' };
    expect((await call(address, '/read/1', { headers })).status).toBe(200);
    expect(mesh.runs()[0]?.headers[TENANT]).toBe('acme');
    expect(allReceived()).not.toMatch(/acme-key|beta|api.key/i);
  });

  it.each([
    ['no key', {}],
    ['an unknown key', { [KEY]: 'other' }],
    ['two keys', { [KEY]: ['acme-key', 'acme-key'] }],
    ['two keys in one field', { [KEY]: 'acme-key, beta-key' }],
    ['the key in another field', { authorization: 'acme-key', Spindlepaddle_Api_Key: 'acme-key' }],
  ])('is refused at once with 401: %s', async (_case, headers) => {
    const { first, address } = await twoMachines();
    expect((await call(address, '/read/1', { headers })).status).toBe(401);
    expect(mesh.runs()).toEqual([]);
    const line = first.lines.find(({ event }) => event === 'request');
    expect(line).toMatchObject({ code: 'unknown-key', route: 'read' });
  });

  it('on a public route passes on no key and no claimed tenant, also if sent twice', async () => {
    const { address } = await twoMachines();
    const headers = {
      [KEY]: ['acme-key', 'beta-key'],
      [TENANT]: ['beta', 'acme'],
      'SPINDLEPADDLE_API-KEY': 'acme-key',
    };
    expect((await call(address, '/open/1', { headers })).status).toBe(200);
    expect(mesh.runs()[0]?.headers[TENANT]).toBeUndefined();
    expect(allReceived()).not.toMatch(/acme|beta/);
  });

  it('is passed on unchanged if no tenants are configured', async () => {
    const { address } = await twoMachines();
    const version = mesh.configure(ROUTES);
    await waitFor(() => mesh.machines.every(({ node }) => node.status.version === version));
    const headers = { [KEY]: 'acme-key', [TENANT]: 'beta' };
    expect((await call(address, '/read/1', { headers })).status).toBe(200);
    expect(mesh.runs()[0]?.headers).toMatchObject(headers);
  });

  it('leaves no key in any log line', async () => {
    const { first, second, address } = await twoMachines();
    await call(address, '/read/1', { headers: { [KEY]: 'unknown-key-value' } });
    await call(address, '/read/1', { headers: { [KEY]: ['acme-key', 'beta-key'] } });
    mesh.configure(ROUTES, { tenants: [ACME, { ...BETA, apiKeys: ['acme-key'] }] });
    await waitFor(() => first.lines.some(({ event }) => event === 'configuration-held-off'));
    const lines = JSON.stringify([...first.lines, ...second.lines]);
    expect(lines).toContain('shared-key');
    expect(lines).not.toMatch(/acme-key|beta-key|unknown-key-value/);
  });
});

/** Sends an upload whose body ends when `end` is called. */
function heldUpload(address: string, agent: http.Agent) {
  const [host, port] = address.split(':');
  const headers = { host: 'mesh.example', [KEY]: 'acme-key', 'transfer-encoding': 'chunked' };
  const request = http.request({ host, port, path: '/upload/1', method: 'POST', headers, agent });
  const status = new Promise<number>((resolve) => {
    request.on('error', () => resolve(0));
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
    });
  });
  request.write('begun');
  return { end: () => request.end('ended'), status };
}

/** Status of a request on the agent's connections. */
function readOn(address: string, agent: http.Agent, key: string): Promise<number> {
  const [host, port] = address.split(':');
  const headers = { host: 'mesh.example', [KEY]: key };
  return new Promise((resolve, reject) => {
    const request = http.get({ host, port, path: '/read/1', headers, agent });
    request.on('error', reject);
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
    });
  });
}

describe('a key that is removed', () => {
  it('is refused on open connections and for bodies in progress, and the new key is accepted', async () => {
    const { first, address } = await twoMachines();
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const other = new http.Agent({ keepAlive: true });
    expect(await readOn(address, agent, 'acme-key')).toBe(200);
    expect(await readOn(address, agent, 'acme-next')).toBe(401);
    const held = heldUpload(address, other);
    await waitFor(() => first.node.status.inFlight === 1);
    const version = mesh.configure(ROUTES, {
      tenants: [{ ...ACME, apiKeys: ['acme-next'] }, BETA],
    });
    await waitFor(() => first.node.status.version === version);
    const ranBefore = mesh.runs().length;
    held.end();
    expect(await held.status).toBe(401);
    expect(await readOn(address, agent, 'acme-key')).toBe(401);
    expect(await readOn(address, agent, 'acme-next')).toBe(200);
    expect(mesh.runs().length).toBe(ranBefore + 1);
    agent.destroy();
    other.destroy();
  });

  it('is refused by a node without the store, which learns of the removal from another node', async () => {
    const { first, second, address } = await twoMachines();
    first.view.failure = 'unavailable';
    mesh.store.wake();
    const startedAt = performance.now();
    const version = mesh.configure(ROUTES, {
      tenants: [{ ...ACME, apiKeys: ['acme-next'] }, BETA],
    });
    await waitFor(() => second.node.status.version === version);
    const ask = (key: string) => call(address, '/read/1', { headers: { [KEY]: key } });
    await waitFor(async () => (await ask('acme-next')).status === 200);
    expect((await ask('acme-key')).status).not.toBe(200);
    expect(performance.now() - startedAt).toBeLessThan(1_000);
  });
});

describe('nodes without the store or a configuration', () => {
  it.each([
    ['refuse requests with a key that they cannot confirm', true, 503],
    ['serve requests with a key of their configuration', false, 200],
  ])('%s (strict: %s)', async (_case, isStrict, expected) => {
    const revocation = { isStrict, withinMs: 1_500 };
    const { first, second, address } = await twoMachines({ bounds: { revocation } });
    const ask = (key: string) => call(address, '/read/1', { headers: { [KEY]: key } });
    expect((await ask('acme-key')).status).toBe(200);
    for (const machine of mesh.machines) {
      machine.view.failure = 'unavailable';
    }
    mesh.store.wake();
    await waitFor(async () => (await ask('new-key')).status === 503);
    await new Promise((resolve) => setTimeout(resolve, revocation.withinMs));
    const result = await ask('acme-key');
    expect(result.status).toBe(expected);
    expect((await call(address, '/open/1')).status).toBe(200);
    first.view.failure = undefined;
    second.view.failure = undefined;
    await waitFor(async () => (await ask('acme-key')).status === 200);
    await waitFor(async () => (await ask('new-key')).status === 401);
  });

  it('answer 503, never 401, without a configuration', async () => {
    const machine = await mesh.add('desk');
    const result = await call(machine.node.addresses.clients, '/read/1', {
      headers: { [KEY]: 'any' },
    });
    expect(result.status).toBe(503);
  });
});

describe('a placement policy', () => {
  const POLICIES = [
    {
      name: 'home',
      allow: `request.tenant == "acme" ? endpoint.zone == "a" : request.tenant == "beta" && endpoint.zone == "b"`,
    },
    { name: 'blind', allow: `!("${KEY}" in request.headers) && !("${TENANT}" in request.headers)` },
  ];
  const PLACED = ROUTES.map((route) => ({ ...route, policies: ['home', 'blind'] }));

  async function twoHomes() {
    const near = await mesh.add('desk', { zone: 'a' });
    const far = await mesh.add('desk', { zone: 'b' });
    mesh.configure(PLACED, { tenants: [ACME, BETA], policies: POLICIES });
    await mesh.settled();
    return { near, far, address: near.node.addresses.clients };
  }

  it('gets the tenant of the key, whatever the client claims, and no key', async () => {
    const { near, far, address } = await twoHomes();
    for (const key of ['acme-key', 'beta-key']) {
      for (const claim of ['acme', 'beta']) {
        const headers = { [KEY]: key, [TENANT]: claim };
        expect((await call(address, '/read/1', { headers })).status).toBe(200);
      }
    }
    const tenantsOf = (machine: Machine) =>
      machine.application.runs.map((run) => run.headers[TENANT]);
    expect(tenantsOf(near)).toEqual(['acme', 'acme']);
    expect(tenantsOf(far)).toEqual(['beta', 'beta']);
    // Without a tenant neither zone is allowed.
    const headers = { [TENANT]: 'acme' };
    expect((await call(address, '/open/1', { headers })).status).toBe(503);
  });

  it('gets the tenant that holds the key when the body has ended', async () => {
    const { near, far, address } = await twoHomes();
    const agent = new http.Agent();
    const held = heldUpload(address, agent);
    await waitFor(() => near.node.status.inFlight === 1);
    const version = mesh.configure(PLACED, {
      tenants: [
        { ...ACME, apiKeys: ['acme-next'] },
        { ...BETA, apiKeys: ['acme-key'] },
      ],
      policies: POLICIES,
    });
    await waitFor(() => near.node.status.version === version);
    held.end();
    expect(await held.status).toBe(200);
    expect(near.application.runs).toHaveLength(0);
    expect(far.application.runs.map((run) => run.headers[TENANT])).toEqual(['beta']);
    agent.destroy();
  });
});
