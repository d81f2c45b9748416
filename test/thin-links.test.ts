/**
 * Versions of a configuration of 1,600 routes, written in quick succession, must reach many nodes
 * over thin links in time and with few bytes per link.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { FLEET_APPLY_MS, type RelayFleet, startRelayFleet } from '../lab/relayFleet.js';
import { waitFor } from '../lab/sidecar-mesh.js';

const ROUTES = 1_600;

/** With this many routes a version is 140 KB long, as are 1,600 routes in tables. */
const ROUTES_OF_TABLES = 750;

const THIN_MBPS = 3.5;
const WIDE_MBPS = 70;
const STORM_GAP_MS = 230;
const STORM_VERSIONS = 20;

let fleet: RelayFleet;

afterEach(() => {
  fleet.close();
});

/** Two nodes with wide links among thin ones, as in the larger deployments. */
function mixedLinks(): number[] {
  return Array.from({ length: 20 }, (_, index) => (index % 10 === 4 ? WIDE_MBPS : THIN_MBPS));
}

async function settle(routes: number): Promise<void> {
  fleet.write(1, routes);
  await waitFor(() => fleet.nodes.every(({ follower }) => follower.version === 1));
  // After this time followers have polled their readers once and have the version as their base.
  await delay(FLEET_APPLY_MS);
}

/** Milliseconds from each version's write until every node has that version or a newer one. */
async function storm(routes: number): Promise<number[]> {
  const waits: Promise<number>[] = [];
  for (let version = 2; version < 2 + STORM_VERSIONS; version += 1) {
    const from = performance.now();
    fleet.write(version, routes);
    const reached = waitFor(() => fleet.nodes.every(({ follower }) => follower.version >= version));
    waits.push(reached.then(() => performance.now() - from));
    await delay(STORM_GAP_MS);
  }
  return Promise.all(waits);
}

describe('twenty nodes, two of them with wide links', () => {
  it('receive each version of a storm within half of the bound', async () => {
    fleet = startRelayFleet(mixedLinks());
    await settle(ROUTES);
    const took = await storm(ROUTES);
    expect(Math.max(...took)).toBeLessThan(FLEET_APPLY_MS / 2);
  }, 40_000);

  it('transfer a small part of the size of the versions over the thin links', async () => {
    fleet = startRelayFleet(mixedLinks());
    await settle(ROUTES);
    const thin = fleet.nodes.filter(({ node }) => node.linkMbps === THIN_MBPS);
    const before = thin.map(({ incoming, outgoing }) => incoming.bytes + outgoing.bytes);
    await storm(ROUTES);
    const sent = thin.map(
      ({ incoming, outgoing }, index) => incoming.bytes + outgoing.bytes - (before[index] ?? 0),
    );
    expect(Math.max(...sent)).toBeLessThan(STORM_VERSIONS * 2_000);
  }, 40_000);
});

describe('nodes with thin links only', () => {
  it('receive each version of a storm within the bound', async () => {
    fleet = startRelayFleet(Array.from({ length: 10 }, () => THIN_MBPS));
    await settle(ROUTES_OF_TABLES);
    const took = await storm(ROUTES_OF_TABLES);
    expect(Math.max(...took)).toBeLessThan(FLEET_APPLY_MS);
  }, 40_000);
});
