/** A small deployment on loopback addresses: a store, nodes, and a back end beside each node. */
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { BackEndStandIn } from './backEnd.mjs';
import { HEARTBEAT_S, MeshNode } from './node.mjs';
import { StoreStandIn } from './store.mjs';

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

const START_LIMIT_MS = 15_000;

/** Time after which every back end is known everywhere. */
const SETTLE_MS = 4_000;

/** A case that has not ended by then ends with {@link NOT_RUN}. */
const CASE_LIMIT_MS = 110_000;

const PORT_NAMES = ['outbound', 'inbound', 'ready', 'control', 'application'];

const ROUTE_COLUMNS = [
  'name',
  'host',
  'path-prefix',
  'kind',
  'timeout-s',
  'target-latency-s',
  'priority',
  'service',
  'max-attempts',
  'traffic-split',
];

const CLIENT_LIMITS = {
  'max-header-bytes': 16_384,
  'max-body-bytes': 67_108_864,
  'header-timeout-s': 3,
  'idle-timeout-s': 15,
};

/** The operator's configuration, as tables, which deploy/wire.toml asks for. */
export function configurationOf(routes, services) {
  return {
    version: 'r7',
    routes: {
      columns: ROUTE_COLUMNS,
      rows: routes.map((route) => ROUTE_COLUMNS.map((column) => route[column] ?? null)),
    },
    services: {
      columns: ['name', 'health-path', 'max-connections', 'protocol', 'tls'],
      rows: services.map((name) => [name, '/health', 130, 'h1', false]),
    },
    limits: CLIENT_LIMITS,
  };
}

export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Ports that are free on all loopback addresses, by name. */
async function freePorts() {
  const servers = await Promise.all(
    PORT_NAMES.map(
      () =>
        new Promise((resolve) => {
          const server = net.createServer().listen(0, '0.0.0.0', () => resolve(server));
        }),
    ),
  );
  const ports = PORT_NAMES.map((name, index) => [name, servers[index].address().port]);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return Object.fromEntries(ports);
}

export class Mesh {
  nodes = [];
  backEnds = [];
  store = new StoreStandIn();
  folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
  #startedAt = Date.now();

  constructor(recordFile) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  /** Writes a line to the record, with the seconds since the start. */
  record = (fields) => {
    const at = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.recordFile, `${at} ${JSON.stringify(fields)}\n`);
  };

  /** `machines` has the zone and the service of each machine. */
  async start({ machines, configuration, slots = 6 }) {
    await this.store.listen('127.0.0.1');
    this.store.put('config', 'main', configuration);
    const ports = await freePorts();
    const subnet = `127.${10 + Math.floor(Math.random() * 240)}.${Math.floor(Math.random() * 250)}`;
    for (const [index, { zone, service }] of machines.entries()) {
      const host = `${subnet}.${index + 2}`;
      const { record, folder } = this;
      const backEnd = new BackEndStandIn({ service, zone, slots, record });
      await backEnd.listen(host, ports.application);
      this.backEnds.push(backEnd);
      const name = `sidecar-${zone}-${index + 1}`;
      const storeAddress = this.store.address;
      this.nodes.push(
        new MeshNode({ name, zone, service, host, ports, storeAddress, folder, record }),
      );
    }
    this.nodes.forEach((node, index) => {
      node.start();
      this.backEnds[index].startHeartbeats(node.control, HEARTBEAT_S * 1_000);
    });
    await this.#whenReady();
    await delay(SETTLE_MS);
  }

  async #whenReady() {
    const until = Date.now() + START_LIMIT_MS;
    for (const node of this.nodes) {
      while (!(await node.isReady())) {
        if (Date.now() > until) {
          throw new Error(`${node.name} is not ready`);
        }
        await delay(50);
      }
    }
  }

  /** Ends all processes and removes the temporary folder. */
  close() {
    for (const node of this.nodes) {
      node.end();
    }
    for (const backEnd of this.backEnds) {
      backEnd.close();
    }
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case, which resolves with an exit code, and ends this process with it. */
export async function runCase(recordFile, play) {
  const mesh = new Mesh(recordFile);
  const finish = (code) => {
    mesh.record({ event: 'result', code });
    mesh.close();
    process.exit(code);
  };
  setTimeout(() => finish(NOT_RUN), CASE_LIMIT_MS);
  process.on('SIGTERM', () => finish(NOT_RUN));
  process.on('SIGINT', () => finish(NOT_RUN));
  try {
    finish(await play(mesh));
  } catch (error) {
    mesh.record({ event: 'failed', error: String(error) });
    console.error(String(error));
    finish(NOT_RUN);
  }
}
