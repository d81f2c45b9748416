/** Clients of a soak that call all the time, on connections that they keep, and do not ask again. */

import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { pickOne } from './random.js';
import type { Sidecar } from './sidecarProcesses.js';
import type { SoakRequest } from './sidecarSoakCheck.js';
import { SERVICES, send } from './soakTraffic.js';

const CLIENTS_OF_A_NODE = 4;

/** Pause after an answer, and after a call that got none, in milliseconds. */
const PAUSE_MS = 30;
const LOST_PAUSE_MS = 500;

const BODY_BYTES = [0, 300, 60_000, 2_000_000];

export interface SoakClients {
  /** Calls until stopped; resolves when the last call has ended. */
  run(): Promise<void>;
  stop(): void;
  /** Calls from now on are to be served. */
  noteFaultsOver(): void;
  readonly requests: readonly SoakRequest[];
}

/** How many calls they make depends on the machine. */
export function createSoakClients(sidecars: readonly Sidecar[], random: () => number): SoakClients {
  const requests: SoakRequest[] = [];
  let isOver = false;
  let areFaultsOver = false;

  const callAlways = async (client: number): Promise<void> => {
    const agent = new http.Agent({ keepAlive: true });
    for (let index = 0; !isOver; index += 1) {
      const id = `soak-${client}-${index}`;
      const repeatable = random() < 0.5;
      const bodyBytes = repeatable ? 0 : pickOne(BODY_BYTES, random);
      const service = pickOne(SERVICES, random);
      const entry = pickOne(sidecars, random);
      const afterFaults = areFaultsOver;
      const { status, answer } = await send({
        address: entry.listen.clients,
        path: `/${service}-${repeatable ? 'safe' : 'unsafe'}/${id}`,
        id,
        method: repeatable ? 'GET' : 'POST',
        bodyBytes,
        agent,
      });
      requests.push({ id, repeatable, bodyBytes, status, answer, afterFaults });
      await delay(status === 0 ? LOST_PAUSE_MS : PAUSE_MS);
    }
    agent.destroy();
  };

  return {
    run: async () => {
      const count = sidecars.length * CLIENTS_OF_A_NODE;
      await Promise.all(Array.from({ length: count }, (_, index) => callAlways(index)));
    },
    stop: () => {
      isOver = true;
    },
    noteFaultsOver: () => {
      areFaultsOver = true;
    },
    requests,
  };
}
