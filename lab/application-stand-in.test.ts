import http from 'node:http';
import { afterEach, expect, it } from 'vitest';
import { ApplicationStandIn } from './application-stand-in.js';

const application = new ApplicationStandIn('desk', 1);

afterEach(() => application.close());

it('keeps the size of a large body without its bytes when it is told to', async () => {
  application.keptBodyBytes = 10;
  const [host, port] = (await application.start()).split(':');
  const bytes = Buffer.alloc(2_000_000, 'x');
  await new Promise<void>((resolve, reject) => {
    const request = http.request({ host, port, method: 'POST', agent: false }, (response) => {
      response.resume();
      response.on('end', resolve);
    });
    request.on('error', reject);
    request.end(bytes);
  });
  const [run] = application.runs;
  expect(run?.bodyBytes).toBe(bytes.length);
  expect(run?.body).toBe('x'.repeat(10));
});
