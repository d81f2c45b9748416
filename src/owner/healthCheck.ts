/** Checks a back end's health: returns its instance, its slots and what it reports about itself. */

import http from 'node:http';
import { endpointOf } from '../model/endpoint.js';
import type { HealthReport } from '../registry/back-end-registry.js';
import { type BackEndNotice, readBackEndNotice } from './backEndNotice.js';
import type { HeaderNames } from './header-names.js';

/** A back end that does not answer within this time, in milliseconds, counts as not ready. */
const TIMEOUT_MS = 600;

/** The answer of a back end that is ready. */
export interface HealthAnswer extends HealthReport {
  readonly notice: BackEndNotice;
}

/** Resolves with undefined unless the back end reports that it is ready. Never rejects. */
export function checkHealth(
  address: string,
  path: string,
  names: HeaderNames,
): Promise<HealthAnswer | undefined> {
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
      const notice = readBackEndNotice(response.headers, names);
      const isLeaving = notice.isLeaving.orDefault(false);
      const isReady = response.statusCode === 200 && typeof instance === 'string' && !isLeaving;
      resolve(isReady ? { instance, slots: notice.load?.slots, notice } : undefined);
    });
  });
}
