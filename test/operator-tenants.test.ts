/**
 * Operators' commands about tenants: their limits, their use over all nodes, and their access to a
 * route. Guards against output that contains an API key, and against use figures that are added up
 * without saying which nodes did not report.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { call, SidecarMesh } from '../lab/sidecar-mesh.js';
import { ExitCode } from '../src/cli/exitCode.js';
import { runCommand as run } from './operatorCommand.js';

describe('tenants', () => {
  it('are printed with their limits, one or all of them, and without their keys', async () => {
    const mesh = new SidecarMesh();
    mesh.configure([{ name: 'read', service: 'desk' }], {
      tenants: [
        { name: 'acme', apiKeys: ['acme-key'], ratePerS: 20, burst: 10 },
        { name: 'beta', apiKeys: ['beta-key'], priority: 0 },
      ],
    });
    const all = (await run(mesh.store, ['tenant', 'list'])).results;
    expect(all).toMatchObject([
      { version: 1, tenants: [{ name: 'acme', ratePerS: 20, burst: 10 }, { name: 'beta' }] },
    ]);
    expect(JSON.stringify(all)).not.toMatch(/acme-key|beta-key/);
    const one = await run(mesh.store, ['tenant', 'show', 'beta']);
    expect(one.results).toMatchObject([{ tenants: [{ name: 'beta', priority: 0 }] }]);
    expect((await run(mesh.store, ['tenant', 'show', 'other'])).code).toBe(ExitCode.Rejected);
    mesh.close();
  });
});

describe('a tenant', () => {
  const QUOTA = { windowMs: 1_000, overage: 0.1, slack: 5 };
  const KEY = 'spindlepaddle-api-key';
  let mesh: SidecarMesh;

  beforeEach(() => {
    mesh = new SidecarMesh();
  });

  afterEach(() => mesh.close());

  it('is shown with its use over all nodes, and with the nodes that do not report', async () => {
    const nodes = [];
    for (const zone of ['a', 'a', 'b']) {
      nodes.push(await mesh.add('desk', { zone, slots: 40, bounds: { quota: QUOTA } }));
    }
    mesh.configure([{ name: 'read', service: 'desk' }], {
      tenants: [
        { name: 'acme', apiKeys: ['acme-key'] },
        { name: 'beta', apiKeys: ['beta-key'], ratePerS: 0.001 },
      ],
    });
    await mesh.settled();
    const statuses = [];
    for (const { node } of nodes) {
      for (const key of ['acme-key', 'acme-key', 'beta-key']) {
        statuses.push(
          (await call(node.addresses.clients, '/read/1', { headers: { [KEY]: key } })).status,
        );
      }
    }
    const refused = statuses.filter((status) => status === 429).length;
    const show = async (name: string) =>
      (await run(mesh.store, ['tenant', 'show', name])).results[0]?.use;
    expect(await show('acme')).toEqual({
      windowMs: 10_000,
      admittedPerS: 0.6,
      refusedPerS: 0,
      nodes: 3,
      outOfReach: [],
    });
    expect(await show('beta')).toMatchObject({ refusedPerS: refused / 10 });
    nodes[2]?.node.close();
    expect(await show('acme')).toMatchObject({ nodes: 2, outOfReach: [nodes[2]?.name] });
  });

  it('has its access to a route explained: tenant, priority and limit, or why it is refused', async () => {
    mesh.configure(
      [
        { name: 'read', service: 'desk', priority: 3 },
        { name: 'open', service: 'desk', isPublic: true },
      ],
      {
        tenants: [
          { name: 'acme', apiKeys: ['acme-key'], ratePerS: 20, burst: 10, priority: 0 },
          { name: 'keyless', apiKeys: [] },
        ],
      },
    );
    const explained = async (path: string, ...options: string[]) =>
      (await run(mesh.store, ['explain', 'mesh.example', path, ...options])).results[0]?.access;
    expect(await explained('/read/1', '--tenant', 'acme')).toMatchObject({
      isGranted: true,
      tenant: 'acme',
      priority: 3 / 256,
      limit: { ratePerS: 20, burst: 10 },
    });
    expect(await explained('/read/1')).toMatchObject({
      isGranted: false,
      message: expect.stringContaining('no key'),
    });
    expect(await explained('/read/1', '--tenant', 'keyless')).toMatchObject({ isGranted: false });
    const open = (await explained('/open/1', '--tenant', 'acme')) as Record<string, unknown>;
    expect([open.isGranted, open.tenant]).toEqual([true, undefined]);
    const unknown = await run(mesh.store, ['explain', 'mesh.example', '/read/1', '--tenant', 'no']);
    expect(unknown.code).toBe(ExitCode.Rejected);
    expect(JSON.stringify(await explained('/read/1', '--tenant', 'acme'))).not.toMatch(/acme-key/);
    mesh.configure([{ name: 'read', service: 'desk' }]);
    expect(await explained('/read/1')).toBe(undefined);
  });
});
