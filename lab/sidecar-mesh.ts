/** Sidecars with their back ends in one process, on real sockets, for tests. */

import { ApplicationStandIn, type Run } from './application-stand-in.js';
import { call } from './clientCall.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from './labOutside.js';
import { Machine, type MachineOptions } from './machine.js';
import { MemoryStore } from './memory-store.js';
import type { TestComplements, TestRoute } from './testConfiguration.js';

export { type ClientCall, type ClientResult, call } from './clientCall.js';
export { Machine, type MachineOptions } from './machine.js';
export type { TestComplements, TestRoute, TestTenant } from './testConfiguration.js';

/** Pause between two looks at a condition, in milliseconds. */
const POLL_MS = 10;

/** A mesh of machines that share one store. */
export class SidecarMesh {
  readonly store = new MemoryStore();
  readonly machines: Machine[] = [];
  /** Of the newest configuration. */
  version = 0;

  /** Adds a machine and starts it. */
  async add(service: string, options: MachineOptions = {}): Promise<Machine> {
    const name = `node-${this.machines.length + 1}`;
    const application = new ApplicationStandIn(service, options.slots ?? 4);
    application.version = options.version ?? application.version;
    const machine = new Machine(name, options.zone ?? 'zone-a', application, this.store, options);
    this.machines.push(machine);
    await machine.start();
    return machine;
  }

  /** Writes a configuration with these routes; each has the host `mesh.example` and its name as prefix. */
  configure(routes: readonly TestRoute[], complements: TestComplements = {}): number {
    this.version += 1;
    const services = new Set(
      routes.flatMap((route) => (route.split ?? [route]).map((part) => part.service)),
    );
    this.store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, {
      version: this.version,
      routes: routes.map(({ service, ...route }) => ({
        host: 'mesh.example',
        pathPrefix: `/${route.name}/`,
        kind: 'safe',
        maxAttempts: 2,
        split: [{ service, weight: 1 }],
        ...route,
      })),
      services: [...services].map((name) => ({ name })),
      ...complements,
    });
    return this.version;
  }

  /** Waits until every node is ready, knows every back end and would offer it work. */
  async settled(): Promise<void> {
    for (const machine of this.machines) {
      await waitFor(
        async () =>
          (await machine.application.heartbeat(machine.node.addresses.registrations)) === 200,
      );
      await waitFor(
        async () => (await call(machine.node.addresses.readiness, '/ready')).status === 200,
      );
      await waitFor(() => machine.node.status.backEndReady);
      await waitFor(() => machine.node.status.ownersPresent === this.machines.length);
    }
  }

  /** Everything that any back end has run. */
  runs(): Run[] {
    return this.machines.flatMap((machine) => machine.application.runs);
  }

  close(): void {
    for (const machine of this.machines) {
      machine.node.close();
      machine.application.close();
    }
  }
}

/** Waits for a condition; the test's own time limit bounds it. */
export async function waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
