/**
 * Back ends answer without a length, so an answer ends with its connection, and the connection is
 * reset in the middle of a long answer. Rule MIXED: such an answer must not look complete.
 */
import http from 'node:http';
import { fileURLToPath } from 'node:url';
import { BROKEN, configurationOf, HELD, NOT_RUN, runCase } from '../lib/mesh.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

const ANSWER_BYTES = 1_500_000;
/** Each node gets two requests in a round. */
const ROUNDS = 40;
/** One answer in 20 is reset: x = 0.05, the largest dose of `garble`, `unframed`, in the site file. */
const RESET_EVERY = 20;
const DEADLINE_MS = 5_000;
const WORK_MS = 20;

const ROUTES = [
  {
    name: 'r-status',
    host: 'desk.example',
    'path-prefix': '/status/',
    kind: 'safe',
    'timeout-s': 4,
    'target-latency-s': 2,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
  },
  {
    name: 'r-grant',
    host: 'desk.example',
    'path-prefix': '/grant/',
    kind: 'unsafe',
    'timeout-s': 4,
    'target-latency-s': 2,
    priority: 1,
    service: 'desk',
    'max-attempts': 2,
  },
];

/** Resolves with what the client received; `looksComplete` as its HTTP library tells. */
function send(node, { method, path, id }) {
  const [host, port] = node.outbound.split(':');
  const headers = { Host: 'desk.example', 'X-Request-Id': id, 'X-Deadline-Ms': DEADLINE_MS };
  return new Promise((resolve) => {
    const options = { host, port, method, path, headers, agent: false };
    const request = http.request(options, (response) => {
      let bytes = 0;
      const told = (looksComplete) => ({
        id,
        status: response.statusCode,
        signature: response.headers['x-server-signature'],
        bytes,
        looksComplete,
      });
      response.on('data', (chunk) => {
        bytes += chunk.length;
      });
      response.on('end', () => resolve(told(response.complete)));
      response.on('error', () => resolve(told(false)));
    });
    request.on('error', (error) => resolve({ id, error: error.code, looksComplete: false }));
    request.end();
  });
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (mesh) => {
  const machines = [
    { zone: 'sapporo-a', service: 'desk' },
    { zone: 'sapporo-b', service: 'desk' },
    { zone: 'sapporo-a', service: 'desk' },
  ];
  await mesh.start({ machines, configuration: configurationOf(ROUTES, ['desk']) });
  for (const backEnd of mesh.backEnds) {
    backEnd.answerBytes = ANSWER_BYTES;
    backEnd.hasAnswerLength = false;
    backEnd.resetEvery = hasTrouble ? RESET_EVERY : 0;
    backEnd.workMs = WORK_MS;
  }
  const answers = [];
  for (let index = 1; index <= ROUNDS; index += 1) {
    const sent = mesh.nodes.flatMap((node) => [
      send(node, { method: 'GET', path: '/status/1', id: `status-${node.name}-${index}` }),
      send(node, { method: 'POST', path: '/grant/1', id: `grant-${node.name}-${index}` }),
    ]);
    for (const answer of await Promise.all(sent)) {
      mesh.record({ event: 'client has received', ...answer });
      answers.push(answer);
    }
  }

  const successes = answers.filter(({ status, looksComplete }) => status === 200 && looksComplete);
  const short = successes.filter(({ bytes }) => bytes < ANSWER_BYTES);
  const runCount = mesh.backEnds.reduce((sum, { runs }) => sum + runs.length, 0);
  console.log(`${answers.length} requests, ${runCount} runs`);
  console.log(`${successes.length} answers look complete to their clients`);
  console.log(`${short.length} of these lack a part of the back end's body`);
  if (runCount < answers.length || (!hasTrouble && successes.length < answers.length)) {
    return NOT_RUN;
  }
  return short.length > 0 ? BROKEN : HELD;
});
