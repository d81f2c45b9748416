/** What the clients of a soak ask for, and one request of theirs. */

import http from 'node:http';
import { endpointOf } from '../src/model/endpoint.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';

const HOST = 'mesh.example';
const DEADLINE_MS = 2_500;

export const SERVICES = ['desk', 'vault'];
const CALLED_SERVICE = 'vault';
/** Back ends that one request may be sent to. */
export const MAX_ATTEMPTS = 2;

/** The call that back ends make; clients don't send it. */
export const CALL_PATH = '/check/1';

/** Begins every key: no back end may ever see it. */
export const SECRET = 'secret-';

/** Sends all requests but those of the other two; its key lasts. */
export const MAIN_TENANT = 'main';

/** Its key is another one in each version. */
export const ROTATING_TENANT = { name: 'rotating' };

/** Held to this rate over all nodes. */
export const HOT_TENANT = { name: 'hot', ratePerS: 10, burst: 5 };

export function keyOf(tenant: string): string {
  return `${SECRET}${tenant}`;
}

export function rotatingKey(version: number): string {
  return keyOf(`${ROTATING_TENANT.name}-${version}`);
}

function tenantsOf(version: number) {
  return [
    { name: MAIN_TENANT, apiKeys: [keyOf(MAIN_TENANT)] },
    { ...ROTATING_TENANT, apiKeys: [rotatingKey(version)] },
    { ...HOT_TENANT, apiKeys: [keyOf(HOT_TENANT.name)] },
  ];
}

/** A route for each service and kind of request, and the tenants. */
export function configurationOf(version: number) {
  const routes = SERVICES.flatMap((service) =>
    ['safe', 'unsafe'].map((kind) => ({
      name: `${service}-${kind}`,
      host: HOST,
      pathPrefix: `/${service}-${kind}/`,
      kind,
      maxAttempts: MAX_ATTEMPTS,
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: 500,
      split: [{ service, weight: 1 }],
    })),
  );
  const calls = {
    name: 'check',
    host: HOST,
    pathPrefix: '/check/',
    kind: 'safe',
    maxAttempts: MAX_ATTEMPTS,
    timeoutMs: DEADLINE_MS,
    targetLatencyMs: 300,
    isPublic: true,
    split: [{ service: CALLED_SERVICE, weight: 1 }],
  };
  const services = SERVICES.map((name) => ({ name }));
  return { version, routes: [...routes, calls], services, tenants: tenantsOf(version) };
}

/** One request of a client. */
export interface Call {
  readonly address: string;
  readonly path: string;
  readonly id: string;
  readonly method: string;
  readonly bodyBytes: number;
  /** The client's connections, which it keeps until the other side closes them. */
  readonly agent: http.Agent;
  /** That of the main tenant if left out. */
  readonly key?: string;
  /** The tenant that the client claims to be. */
  readonly claims?: string;
}

/** Sends one request; status 0 when there is no whole answer. */
export function send(call: Call): Promise<{ status: number; answer: string }> {
  return new Promise((resolve) => {
    const lost = () => resolve({ status: 0, answer: '' });
    const request = http.request({
      ...endpointOf(call.address),
      path: call.path,
      method: call.method,
      agent: call.agent,
      headers: {
        host: HOST,
        [NAMES.requestId]: call.id,
        [NAMES.apiKey]: call.key ?? keyOf(MAIN_TENANT),
        [NAMES.tenant]: call.claims ?? HOT_TENANT.name,
        [NAMES.deadline]: String(DEADLINE_MS),
        ...(call.method === 'POST' ? { 'content-length': call.bodyBytes } : {}),
      },
    });
    const timer = setTimeout(() => request.destroy(), DEADLINE_MS);
    request.on('close', () => {
      clearTimeout(timer);
      lost();
    });
    request.on('error', lost);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', lost);
      response.on('end', () => {
        const answer = Buffer.concat(chunks).toString();
        resolve({ status: response.complete ? (response.statusCode ?? 0) : 0, answer });
      });
    });
    request.end(Buffer.alloc(call.bodyBytes, 'x'));
  });
}
