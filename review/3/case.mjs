/**
 * Two back ends of seven are lost, one after the other: each falls silent in the middle of long
 * answers. Rule CONFIG: requests that run past their route's `timeout-s` still get a final answer
 * within 0.5 s.
 */
import http from 'node:http';
import { fileURLToPath } from 'node:url';
import { BROKEN, configurationOf, delay, HELD, NOT_RUN, runCase } from '../lib/mesh.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

/** As many as `bidding` has. One of seven is the share (0.146) of `srv_crash` in the site file. */
const MACHINES = 7;
/** Slots of a back end, all of which the reads of its node's clients take. */
const SLOTS = 6;

/** Above 256 KiB. */
const ANSWER_BYTES = 1_500_000;
const WORK_MS = 200;
const TIMEOUT_S = 2;
const DEADLINE_MS = 6_000;
/** Clients wait longer than their deadline, to see whether the node ends their requests at all. */
const WATCHED_MS = 8_000;

/** The rule's numbers. */
const FINAL_ANSWER_MS = 500;
const LEAST_UNANSWERED = 8;
const SHARE_UNANSWERED = 0.25;

const ROUTES = [
  {
    name: 'r-read',
    host: 'desk.example',
    'path-prefix': '/read/',
    kind: 'safe',
    'timeout-s': TIMEOUT_S,
    'target-latency-s': 1,
    priority: 2,
    service: 'archive',
    'max-attempts': 2,
  },
];

/** Resolves with how and when the request ended: by a whole answer, an error, a close, or not. */
function read(node, id) {
  const [host, port] = node.outbound.split(':');
  const headers = { Host: 'desk.example', 'X-Request-Id': id, 'X-Deadline-Ms': DEADLINE_MS };
  const sentAt = Date.now();
  return new Promise((resolve) => {
    let status;
    let bytes = 0;
    const end = (how) => {
      clearTimeout(timer);
      resolve({ id, end: how, status, bytes, tookMs: Date.now() - sentAt });
      request.destroy();
    };
    const options = { host, port, path: '/read/1', headers, agent: false };
    const request = http.get(options, (response) => {
      status = response.statusCode;
      response.on('data', (chunk) => {
        bytes += chunk.length;
      });
      response.on('end', () => end('whole answer'));
      response.on('error', () => end('broken off'));
    });
    request.on('error', (error) => end(`error ${error.code}`));
    const timer = setTimeout(() => end('none'), WATCHED_MS);
  });
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (mesh) => {
  const machines = Array.from({ length: MACHINES }, (_, index) => ({
    zone: index % 2 === 0 ? 'sapporo-a' : 'sapporo-b',
    service: 'archive',
  }));
  const configuration = configurationOf(ROUTES, ['archive']);
  await mesh.start({ machines, configuration, slots: SLOTS });
  for (const backEnd of mesh.backEnds) {
    backEnd.answerBytes = ANSWER_BYTES;
    backEnd.workMs = WORK_MS;
  }
  const [firstLost, secondLost] = mesh.backEnds;
  const readAtAll = (name, nodes) =>
    nodes.flatMap((node) =>
      Array.from({ length: SLOTS }, (_, index) => read(node, `${name}-${node.name}-${index}`)),
    );

  firstLost.fallsSilent = hasTrouble;
  const firstReads = readAtAll('first', mesh.nodes);
  await delay(TIMEOUT_S * 1_000);
  secondLost.fallsSilent = hasTrouble;
  const secondReads = readAtAll('second', mesh.nodes.slice(1));
  const reads = await Promise.all([...firstReads, ...secondReads]);
  for (const each of reads) {
    mesh.record({ event: 'client has seen', ...each });
  }

  const timeoutMs = TIMEOUT_S * 1_000;
  const pastTimeout = reads.filter(({ tookMs }) => tookMs > timeoutMs);
  // A request that the node has broken off counts as answered here.
  const unanswered = pastTimeout.filter(({ tookMs }) => tookMs > timeoutMs + FINAL_ANSWER_MS);
  const runCount = mesh.backEnds.reduce((sum, { runs }) => sum + runs.length, 0);
  const whole = reads.filter(({ end, status }) => end === 'whole answer' && status === 200);
  console.log(`${reads.length} requests, ${runCount} runs, ${whole.length} whole answers`);
  console.log(`${unanswered.filter(({ end }) => end === 'none').length} not ended after 8 s`);
  console.log(
    `${pastTimeout.length} ran past the timeout, ${unanswered.length} had no final answer 0.5 s later`,
  );
  if (runCount === 0 || (!hasTrouble && whole.length < reads.length)) {
    return NOT_RUN;
  }
  const isBroken =
    unanswered.length >= LEAST_UNANSWERED &&
    unanswered.length > SHARE_UNANSWERED * pastTimeout.length;
  return isBroken ? BROKEN : HELD;
});
