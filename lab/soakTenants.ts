/**
 * Tenants of a soak: one whose key lets all other clients in, one whose key is another one in each version of
 * the configuration, and one that sends six times its limit. Their requests name another tenant too.
 */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { ApplicationStandIn } from './application-stand-in.js';
import { pickOne } from './random.js';
import type { Sidecar } from './sidecarProcesses.js';
import type { SoakRequest } from './sidecarSoakCheck.js';
import type { TenantRequest, TenantRun } from './soakTenantsCheck.js';
import {
  HOT_TENANT,
  keyOf,
  MAIN_TENANT,
  ROTATING_TENANT,
  rotatingKey,
  SERVICES,
  send,
} from './soakTraffic.js';

/** How many times its limit the hot tenant sends. */
const HEAT = 6;

/** A key of one of so many versions is sent, of which the newest holds one. */
const OLDEST_KEY = 4;

const ROTATING_EVERY_MS = 100;

export interface TenantClients {
  /** Call until stopped; resolves when the last call has ended. */
  run(): Promise<void>;
  stop(): void;
  /** As the other clients' requests are looked at. */
  readonly history: readonly SoakRequest[];
  /** As tenants' requests are looked at. */
  readonly requests: readonly TenantRequest[];
}

/** `version` is the newest version of the configuration. */
export function createTenantClients(
  sidecars: readonly Sidecar[],
  version: () => number,
  random: () => number,
): TenantClients {
  const history: SoakRequest[] = [];
  const requests: TenantRequest[] = [];
  const agent = new http.Agent({ keepAlive: true });
  let isOver = false;

  const call = async (tenant: string, key: string, keyVersion?: number): Promise<void> => {
    const id = `${tenant}-${requests.length}`;
    requests.push({ id, tenant, keyVersion, sentAt: performance.now() });
    const { status, answer } = await send({
      address: pickOne(sidecars, random).listen.clients,
      path: `/${pickOne(SERVICES, random)}-safe/${id}`,
      id,
      method: 'GET',
      bodyBytes: 0,
      agent,
      key,
      claims: MAIN_TENANT,
    });
    history.push({ id, repeatable: true, bodyBytes: 0, status, answer, afterFaults: false });
  };

  const callRotating = (): Promise<void> => {
    const keyVersion = Math.max(0, version() - Math.floor(random() * OLDEST_KEY));
    return call(ROTATING_TENANT.name, rotatingKey(keyVersion), keyVersion);
  };
  const callHot = (): Promise<void> => call(HOT_TENANT.name, keyOf(HOT_TENANT.name));

  const callEvery = async (everyMs: number, begin: () => Promise<void>): Promise<void> => {
    const calls: Promise<void>[] = [];
    while (!isOver) {
      calls.push(begin());
      await delay(everyMs);
    }
    await Promise.all(calls);
  };

  return {
    run: async () => {
      const hotEveryMs = 1_000 / (HEAT * HOT_TENANT.ratePerS);
      await Promise.all([
        callEvery(ROTATING_EVERY_MS, callRotating),
        callEvery(hotEveryMs, callHot),
      ]);
      agent.destroy();
    },
    stop: () => {
      isOver = true;
    },
    history,
    requests,
  };
}

/** What a back end has seen of tenants. */
export function tenantRunsOf({ runs }: ApplicationStandIn): TenantRun[] {
  return runs.map(({ requestId, headers, target, at }) => ({
    id: requestId,
    at,
    seen: JSON.stringify([headers, target]),
    headers,
  }));
}
