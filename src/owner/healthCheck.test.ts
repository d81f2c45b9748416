import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { ApplicationStandIn } from '../../lab/application-stand-in.js';
import { DEFAULT_HEADER_NAMES as NAMES } from './header-names.js';
import { checkHealth } from './healthCheck.js';

let application: ApplicationStandIn;

beforeEach(async () => {
  application = new ApplicationStandIn('desk', 4);
  await application.start();
});

afterEach(() => application.close());

const check = () => checkHealth(application.address, '/health', NAMES);

it('reads the instance, the slots and the limit of a back end that is ready', async () => {
  application.notices.nameLimit(2.5);
  const answer = await check();
  expect(answer).toMatchObject({ instance: application.instance, slots: 4 });
  expect(answer?.notice.limitPerS.extract()).toBe(2.5);
});

it('does not accept a back end as ready that reports that it is leaving', async () => {
  const server = http.createServer((_request, response) => {
    response.writeHead(200, { [NAMES.instance]: 'i-1', [NAMES.leaving]: '1' });
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  expect(await checkHealth(`127.0.0.1:${port}`, '/health', NAMES)).toBeUndefined();
  server.close();
});
