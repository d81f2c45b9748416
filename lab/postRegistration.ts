/** A call of a back end to the registrations of its node. */
import http from 'node:http';
import { endpointOf } from '../src/model/endpoint.js';

/** Resolves with the status of the answer. */
export function postRegistration(address: string, body: unknown): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = http.request({
      ...endpointOf(address),
      method: 'POST',
      path: '/registrations',
      agent: false,
    });
    request.on('error', reject);
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
    });
    request.end(JSON.stringify(body));
  });
}
