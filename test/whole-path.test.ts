/**
 * The whole path with real processes: operator, store over HTTP, sidecars, back ends and clients.
 * Each kind of traffic is served, a version comes into force while the store is unavailable to two
 * zones, and a killed sidecar serves again after its restart.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createDemoMesh, type DemoMesh } from '../lab/demoMesh.js';

let folder: string;
let mesh: DemoMesh;

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-path-'));
  mesh = await createDemoMesh(folder);
});

afterEach(async () => {
  await mesh.close();
  rmSync(folder, { recursive: true });
});

const EXAMPLE = new URL('../examples/lektorka.yaml', import.meta.url).pathname;

it('serves every kind of traffic, and handles a change, an unavailable store, a kill and a stop', async () => {
  expect(await mesh.operator(['apply', EXAMPLE, '--wait'])).toBe(0);
  await mesh.untilReady();
  for (const { method, path } of mesh.traffic) {
    for (const sidecar of mesh.sidecars) {
      expect(await mesh.send(sidecar, method, path), `${method} ${path}`).toMatchObject({
        status: 200,
      });
    }
  }
  const [first, second] = mesh.sidecars;
  // The store is unavailable to two of the zones, and a version still comes into force there.
  for (const way of mesh.ways.slice(0, 2)) {
    way.view.failure = 'unavailable';
  }
  expect(await mesh.operator(['apply', EXAMPLE, '--wait'])).toBe(0);
  for (const way of mesh.ways) {
    way.view.failure = undefined;
  }
  await first.process.kill();
  await first.restart();
  await mesh.untilReady();
  expect(await mesh.send(first, 'GET', '/catalogue/after')).toMatchObject({ status: 200 });
  expect(await mesh.operator(['wait', '2'])).toBe(0);
  expect(await second.process.stop()).toBe(0);
});
