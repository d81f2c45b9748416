/**
 * Operators' commands against the store stand-in. Guards against a change of the configuration that
 * is lost, written twice or reported wrongly while answers of the store are lost or late, other
 * operators write, or the store is restored from a copy.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from '../lab/labOutside.js';
import { MemoryStore, StoreView } from '../lab/memory-store.js';
import { call, SidecarMesh, waitFor } from '../lab/sidecar-mesh.js';
import { decodeConfiguration, encodeConfiguration } from '../platform/configuration.js';
import { readConfigurationFile } from '../src/cli/configurationFile.js';
import { ExitCode } from '../src/cli/exitCode.js';
import { CRASH_KIND } from '../src/directory/crashRecord.js';
import { NODE_KIND } from '../src/directory/directory-sync.js';
import { checkMeshConfiguration } from '../src/routing/mesh-configuration.js';
import type { SidecarStatus } from '../src/sidecar/sidecar-node.js';
import { runCommand as run } from './operatorCommand.js';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-operators-'));
});

afterEach(() => rmSync(folder, { recursive: true }));

/** Writes a configuration file with one route to `desk`; the last two parameters add YAML text. */
function writeConfiguration(
  name: string,
  pathPrefix: string,
  routeFields = '',
  sections = '',
): string {
  const file = join(folder, `${name}.yaml`);
  const route = `{ name: read, host: mesh.example, pathPrefix: ${pathPrefix}, kind: safe, service: desk${routeFields} }`;
  writeFileSync(file, `services: [{ name: desk }]\nroutes:\n  - ${route}\n${sections}`);
  return file;
}

function storedVersion(store: MemoryStore): unknown {
  return store.kind(CONFIGURATION_KIND).get(CONFIGURATION_NAME)?.spec;
}

describe('a change of the configuration', () => {
  it('gets the next version, and can be compared and read back', async () => {
    const store = new MemoryStore();
    const first = writeConfiguration('first', '/a/');
    const second = writeConfiguration('second', '/b/');
    expect((await run(store, ['apply', first])).results).toEqual([
      { kind: 'accepted', version: 1 },
    ]);
    expect((await run(store, ['diff', first])).results).toMatchObject([{ changes: [] }]);
    expect((await run(store, ['diff', second])).results).toMatchObject([
      { changes: [{ change: '~', kind: 'routes', name: 'read' }] },
    ]);
    expect((await run(store, ['apply', second])).results).toEqual([
      { kind: 'accepted', version: 2 },
    ]);
    expect((await run(store, ['get'])).results).toMatchObject([
      { version: 2, configuration: { routes: [{ pathPrefix: '/b/' }] } },
    ]);
  });

  it('that is not valid is not written', async () => {
    const store = new MemoryStore();
    const { code, results } = await run(store, ['apply', writeConfiguration('bad', 'a')]);
    expect(code).toBe(ExitCode.Rejected);
    expect(results).toMatchObject([{ findings: [{ path: 'routes.0.pathPrefix', line: 3 }] }]);
    expect(storedVersion(store)).toBeUndefined();
  });

  it('of one of two concurrent operators is accepted, and the other one gets a conflict', async () => {
    const store = new MemoryStore();
    await run(store, ['apply', writeConfiguration('base', '/base/')]);
    for (let round = 0; round < 10; round += 1) {
      const views = [new StoreView(store), new StoreView(store)] as const;
      const results = await Promise.all([
        run(store, ['apply', writeConfiguration('left', '/left/')], views[0]),
        run(store, ['apply', writeConfiguration('right', '/right/')], views[1]),
      ]);
      expect(results.map(({ code }) => code).sort()).toEqual([ExitCode.Ok, ExitCode.Conflict]);
      const winner = results[0].code === ExitCode.Ok ? '/left/' : '/right/';
      expect(storedVersion(store)).toMatchObject({
        version: round + 2,
        routes: [{ pathPrefix: winner }],
      });
    }
  });

  it('is rejected if the stored version is not the one that the operator expects', async () => {
    const store = new MemoryStore();
    const file = writeConfiguration('base', '/base/');
    await run(store, ['apply', file]);
    const { code } = await run(store, ['apply', file, '--expect', '7']);
    expect(code).toBe(ExitCode.Conflict);
    expect(storedVersion(store)).toMatchObject({ version: 1 });
  });

  it('is accepted once if the answer of the store is lost', async () => {
    const store = new MemoryStore();
    await run(store, ['apply', writeConfiguration('base', '/base/')]);
    const view = new StoreView(store);
    view.answersToLose = 1;
    const { results } = await run(store, ['apply', writeConfiguration('next', '/next/')], view);
    expect(results).toEqual([{ kind: 'accepted', version: 2 }]);
    expect(storedVersion(store)).toMatchObject({ version: 2, routes: [{ pathPrefix: '/next/' }] });
  });

  it('is not written twice if the store performs the write late', async () => {
    const store = new MemoryStore();
    await run(store, ['apply', writeConfiguration('base', '/base/')]);
    const view = new StoreView(store);
    view.writesToDelay = 1;
    view.lateMs = 150;
    const before = store.revision;
    const { results } = await run(store, ['apply', writeConfiguration('next', '/next/')], view);
    expect(results).toEqual([{ kind: 'accepted', version: 2 }]);
    expect(store.revision - before).toBe(1);
  });

  it('fails as unavailable if the store cannot be reached', async () => {
    const view = new StoreView(new MemoryStore());
    view.failure = 'unavailable';
    const { code } = await run(
      new MemoryStore(),
      ['apply', writeConfiguration('base', '/base/')],
      view,
    );
    expect(code).toBe(ExitCode.Unavailable);
  });
});

describe('an unknown command', () => {
  it('is a usage error and prints the help', async () => {
    const { code, errors } = await run(new MemoryStore(), ['nonsense']);
    expect(code).toBe(ExitCode.Usage);
    expect(errors.join('')).toContain('validate');
  });
});

describe('the stored form of a configuration', () => {
  it('decodes to the configuration that was encoded', () => {
    const file = new URL('../examples/lektorka.yaml', import.meta.url).pathname;
    const { configuration } = readConfigurationFile(file);
    if (!configuration) {
      throw new Error('the example is not valid');
    }
    const written = { ...configuration, version: 7 };
    const spec = JSON.parse(JSON.stringify(encodeConfiguration(written)));
    const decoded = decodeConfiguration(spec);
    expect(checkMeshConfiguration(decoded?.candidate).unsafeCoerce()).toEqual(written);
  });
});

describe('a mesh that operators change', () => {
  let mesh: SidecarMesh;

  beforeEach(() => {
    mesh = new SidecarMesh();
  });

  afterEach(() => mesh.close());

  it('shows when a version is in force on every node, and names a node that has stopped', async () => {
    const [first, second] = await Promise.all([
      mesh.add('desk'),
      mesh.add('desk', { zone: 'zone-b' }),
    ]);
    const applied = await run(mesh.store, [
      'apply',
      writeConfiguration('base', '/read/'),
      '--wait',
    ]);
    expect(applied.results).toMatchObject([
      { kind: 'accepted', version: 1 },
      { inForce: true, nodes: 2 },
    ]);
    second.node.close();
    const status = await run(mesh.store, ['status']);
    expect(status.results).toMatchObject([{ version: 1, behind: [second.name] }]);
    const waited = await run(mesh.store, ['wait', '1', '--timeout', '0.3']);
    expect(waited.code).toBe(ExitCode.TimedOut);
    expect(waited.results).toMatchObject([{ inForce: false, behind: [second.name] }]);
    expect(first.node.status.version).toBe(1);
  });

  describe('when the store has been restored from a copy', () => {
    const startTwo = async () => {
      await mesh.add('desk');
      await mesh.add('desk', { zone: 'zone-b' });
      await run(mesh.store, ['apply', writeConfiguration('base', '/read/'), '--wait']);
      const knownOwners = ({ ownersPresent, ownersAbsent }: SidecarStatus) =>
        ownersPresent + ownersAbsent;
      await waitFor(() => mesh.machines.every(({ node }) => knownOwners(node.status) === 2));
    };
    const versions = () => mesh.machines.map(({ node }) => node.status.version);

    it('gives a change a version that no node has had in force, and it comes into force', async () => {
      await startTwo();
      const copiedRevision = mesh.store.revision;
      await run(mesh.store, ['apply', writeConfiguration('lost', '/lost/'), '--wait']);
      mesh.store.restore(copiedRevision);
      const applied = await run(mesh.store, [
        'apply',
        writeConfiguration('next', '/next/'),
        '--wait',
      ]);
      expect(applied.results).toMatchObject([
        { kind: 'accepted', version: 3 },
        { inForce: true, nodes: 2 },
      ]);
      expect(versions()).toEqual([3, 3]);
    });

    it('reports to a waiting operator that the store has lost the change', async () => {
      await startTwo();
      const copiedRevision = mesh.store.revision;
      for (const { view } of mesh.machines) {
        view.failure = 'unavailable';
      }
      const pending = run(mesh.store, ['apply', writeConfiguration('lost', '/lost/'), '--wait']);
      await waitFor(() => mesh.store.revision > copiedRevision);
      mesh.store.restore(copiedRevision);
      const { code, results } = await pending;
      expect(code).toBe(ExitCode.Unknown);
      expect(results).toMatchObject([{ kind: 'accepted' }, { inForce: false, isLost: true }]);
    });

    it('waits also for a node whose record is lost', async () => {
      await startTwo();
      const [, second] = mesh.machines;
      if (second) {
        second.view.failure = 'unavailable';
        mesh.store.delete(NODE_KIND, second.name);
      }
      const applied = await run(mesh.store, [
        'apply',
        writeConfiguration('next', '/next/'),
        '--wait',
      ]);
      expect(applied.results).toMatchObject([{ version: 2 }, { inForce: true, nodes: 2 }]);
    });
  });

  it('sends requests only to owners that the policy allows, and explains which those are', async () => {
    const near = await mesh.add('desk');
    const far = await mesh.add('desk', { zone: 'zone-b' });
    const file = writeConfiguration(
      'placed',
      '/read/',
      ', policies: [far-only]',
      'policies: [{ name: far-only, allow: endpoint.zone == "zone-b" }]\n',
    );
    await run(mesh.store, ['apply', file, '--wait']);
    await mesh.settled();
    const clients = near.node.addresses.clients;
    for (let index = 0; index < 10; index += 1) {
      expect((await call(clients, `/read/${index}`)).status).toBe(200);
    }
    expect(near.application.runs).toHaveLength(0);
    expect(far.application.runs).toHaveLength(10);
    const explained = await run(mesh.store, ['explain', 'mesh.example', '/read/1']);
    const owners = explained.results[0]?.owners as { node: string; mayServe: boolean }[];
    expect(Object.fromEntries(owners.map((owner) => [owner.node, owner.mayServe]))).toEqual({
      [near.name]: false,
      [far.name]: true,
    });
    expect((await call(clients, '/read/%2f..%2fx')).status).toBe(400);
    // No permitted owner is left: the refusal gives that reason, and nothing runs.
    far.node.close();
    mesh.store.delete('spindlepaddle-nodes', far.name);
    await waitFor(async () =>
      (await call(clients, '/read/late')).body.includes('placement-denied'),
    );
    expect(near.application.runs).toHaveLength(0);
  });

  it('holds a version back until its secret is stored, and gives the secret only to the back end', async () => {
    const machine = await mesh.add('desk');
    const secretFile = join(folder, 'token');
    writeFileSync(secretFile, 'token-1\n');
    await run(mesh.store, ['apply', writeConfiguration('open', '/read/'), '--wait']);
    await mesh.settled();
    const otherStore = new MemoryStore();
    const [written] = (await run(otherStore, ['secret', 'token', secretFile])).results;
    const file = writeConfiguration(
      'secret',
      '/read/',
      ', credential: { header: X-Token, secret: token }',
      `secrets: [{ name: token, digest: ${written?.digest} }]\n`,
    );
    await run(mesh.store, ['apply', file]);
    await waitFor(() => machine.lines.some(({ event }) => event === 'configuration-waits'));
    expect(machine.node.status.version).toBe(1);
    // A value with another digest does not bring the version into force.
    writeFileSync(secretFile, 'token-2\n');
    await run(mesh.store, ['secret', 'token', secretFile]);
    await new Promise((resolve) => setTimeout(resolve, 700));
    expect(machine.node.status.version).toBe(1);
    writeFileSync(secretFile, 'token-1\n');
    await run(mesh.store, ['secret', 'token', secretFile]);
    await waitFor(() => machine.node.status.version === 2);
    const answer = await call(machine.node.addresses.clients, '/read/1', {
      headers: { 'x-token': 'forged' },
    });
    expect(answer.status).toBe(200);
    expect(machine.application.runs.at(-1)?.headers['x-token']).toBe('token-1');
    expect(JSON.stringify(machine.lines)).not.toContain('token-1');
  });

  it('does not bring a version into force whose policy cannot be compiled', async () => {
    const machine = await mesh.add('desk');
    mesh.configure([{ name: 'read', service: 'desk' }]);
    await mesh.settled();
    mesh.configure([{ name: 'read', service: 'desk', policies: ['odd'] }], {
      policies: [{ name: 'odd', allow: 'endpoint.nothing == 1' }],
    });
    await waitFor(() => machine.lines.some(({ event }) => event === 'configuration-held-off'));
    expect(machine.node.status.version).toBe(1);
    expect((await call(machine.node.addresses.clients, '/read/1')).status).toBe(200);
  });
});

describe('quarantines', () => {
  it('are printed, and lifted by fingerprint', async () => {
    const store = new MemoryStore();
    expect((await run(store, ['quarantines'])).results).toEqual([{ quarantines: [] }]);
    const request = { fingerprint: 'f1', caller: 'desk', crashes: 3 };
    store.put(CRASH_KIND, 'i-1', { suspects: [request], quarantined: [request] });
    store.put(CRASH_KIND, 'i-0', { suspects: [request], quarantined: [] });
    expect((await run(store, ['quarantines'])).results).toEqual([
      { quarantines: [{ ...request, instance: 'i-1' }] },
    ]);
    const wrong = await run(store, ['lift', 'f2']);
    expect(wrong.code).toBe(ExitCode.Rejected);
    expect(wrong.results).toMatchObject([
      { findings: [{ message: 'no request with the fingerprint f2 is quarantined' }] },
    ]);
    expect((await run(store, ['lift', 'f1'])).code).toBe(ExitCode.Ok);
    expect([...store.kind(CRASH_KIND).keys()]).toEqual(['i-0']);
    const unavailableView = new StoreView(store);
    unavailableView.failure = 'unavailable';
    expect((await run(store, ['quarantines'], unavailableView)).code).toBe(ExitCode.Unavailable);
  });
});
