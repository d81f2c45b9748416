/** Checks a back end's health: returns its instance and its number of slots. */

import http from 'node:http';
import { endpointOf } from '../model/endpoint.js';
import type { HealthReport } from '../registry/back-end-registry.js';
import type { HeaderNames } from './header-names.js';
import { readLoadReport } from './loadReport.js';

/** A back end that does not answer within this time, in milliseconds, counts as not ready. */
const TIMEOUT_MS = 600;

/** Resolves with undefined unless the back end reports that it is ready. Never rejects. */
export function checkHealth(
  address: string,
  path: string,
  names: HeaderNames,
): Promise<HealthReport | undefined> {
  return new Promise((resolve) => {
    const request = http.get({
      ...endpointOf(address),
      path,
      agent: false,
    });
    const timer = setTimeout(
      () => request.destroy(new Error('health check timed out')),
      TIMEOUT_MS,
    );
    request.on('close', () => clearTimeout(timer));
    request.on('error', () => resolve(undefined));
    request.on('response', (response) => {
      response.on('error', () => {});
      response.resume();
      const instance = response.headers[names.instance.toLowerCase()];
      const load = response.headers[names.load.toLowerCase()];
      const isReady = response.statusCode === 200 && typeof instance === 'string';
      resolve(isReady ? { instance, slots: readLoadReport(load)?.slots } : undefined);
    });
  });
}
