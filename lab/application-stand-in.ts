/** A back end beside a node: slots, heartbeats, and the faults that back ends show. */

import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { DEFAULT_HEADER_NAMES as NAMES } from '../src/owner/header-names.js';
import { answer, type Behaviour, hasSent, type LongAnswer } from './applicationAnswer.js';
import { type CallPlan, makeCalls } from './backEndCalls.js';
import { beginRun, type Run, type RunFate } from './backEndRun.js';
import { postRegistration } from './postRegistration.js';
import { createStatedNotices } from './statedNotices.js';

export type { Run, RunFate } from './backEndRun.js';

let instances = 0;

function nextInstance(): string {
  instances += 1;
  return `i-${instances}`;
}

/** Status of an answer for which a call has failed. */
const FAILED_CALL_STATUS = 500;

/** Pause before a heartbeat that was not acknowledged is sent again, in milliseconds. */
const ANNOUNCE_RETRY_MS = 100;

/** A back end that has crashed is back, at the same port, after this time. */
const SHORTEST_DOWN_MS = 2_500;
export const LONGEST_DOWN_MS = 4_000;

/** Listens until closed. */
export class ApplicationStandIn {
  /** Id, which a later life may have too. */
  instance: string;
  /** Start of the present life, in Unix milliseconds. */
  bornAt = Date.now();
  /** True if it starts again under the id that it had. */
  keepsId = false;
  /** True if it listens at another port when it starts again. */
  moves = false;
  /** Of its software. */
  version = 'v1';
  readonly runs: Run[] = [];
  /** What it says of itself in its answers: a limit, and that it is leaving. */
  readonly notices = createStatedNotices(() => this.bornAt);
  /** True for a request that crashes the back end {@link crashAfterMs} after it has begun to run. */
  crashesUnder: (run: Run) => boolean = () => false;
  crashAfterMs = 45;
  /** Steady time in milliseconds of each crash. */
  readonly crashes: number[] = [];
  /** Called when another life listens after a crash. */
  onBack: () => void = () => {};
  /** Behaviours of the next requests; then {@link Behaviour} `serve`. */
  readonly behaviours: (Behaviour | LongAnswer)[] = [];
  serviceMs = 5;
  /** Least length of an answer's body. */
  answerBytes = 0;
  /** True if it drops a request, and frees its slot, as soon as the connection closes. */
  dropsAbandoned = false;
  /** The calls that it makes while it runs a request; none if undefined. */
  callsOf: (run: Run) => CallPlan | undefined = () => undefined;
  /** What its version makes of a request. */
  fateOf: (run: Run) => RunFate = () => ({});
  /** Bytes that are kept of each body: a soak would run out of memory with all of them. */
  keptBodyBytes = Number.POSITIVE_INFINITY;
  draining = false;
  running = 0;
  mostRunning = 0;
  private sequence = 0;
  private isClosed = false;
  private port = 0;
  private readonly server = http.createServer((request, response) => this.serve(request, response));

  constructor(
    readonly service: string,
    public slots: number,
  ) {
    this.instance = nextInstance();
  }

  /** Starts listening and resolves with its address. */
  start(port = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        this.port = (this.server.address() as AddressInfo).port;
        resolve(this.address);
      });
    });
  }

  get isListening(): boolean {
    return this.server.listening;
  }

  /** Also while it is down after a crash. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Ends at once. */
  close(): void {
    this.isClosed = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Ends at once, with its connections, and is back some seconds later. */
  crash(downMs = SHORTEST_DOWN_MS + Math.random() * (LONGEST_DOWN_MS - SHORTEST_DOWN_MS)): void {
    if (this.isClosed || !this.isListening) {
      return;
    }
    this.crashes.push(performance.now());
    this.server.close();
    this.server.closeAllConnections();
    setTimeout(() => void this.comeBack(), downMs);
  }

  private async comeBack(): Promise<void> {
    if (this.isClosed) {
      return;
    }
    this.beginLife();
    await this.start(this.moves ? 0 : this.port);
    this.onBack();
  }

  /** It holds and knows nothing of before, and may have been away for less than a millisecond. */
  private beginLife(): void {
    this.instance = this.keepsId ? this.instance : nextInstance();
    this.bornAt = Math.max(Date.now(), this.bornAt + 1);
    this.sequence = 0;
    this.running = 0;
    this.draining = false;
    this.notices.clear();
  }

  /** Sends heartbeats until one is acknowledged. */
  async announce(registrations: () => string): Promise<void> {
    const { bornAt } = this;
    while (!this.isClosed && this.isListening && this.bornAt === bornAt) {
      if ((await this.heartbeat(registrations()).catch(() => 0)) === 200) {
        return;
      }
      await delay(ANNOUNCE_RETRY_MS);
    }
  }

  /** Sends one heartbeat to its node. */
  heartbeat(registrations: string, sequence?: number): Promise<number> {
    this.sequence += 1;
    return postRegistration(registrations, this.nextBeat(sequence));
  }

  /** What the next heartbeat says; it may be sent late with {@link sendLate}. */
  nextBeat(sequence = this.sequence): unknown {
    return {
      kind: 'heartbeat',
      beat: {
        instance: this.instance,
        bornAt: this.bornAt,
        version: this.version,
        service: this.service,
        address: this.address,
        slots: this.slots,
        state: this.draining ? 'draining' : 'ready',
        coldRemainingMs: 0,
        sequence,
      },
    };
  }

  /** Sends what was to be said in an earlier life. */
  sendLate(registrations: string, call: unknown): Promise<number> {
    return postRegistration(registrations, call);
  }

  deregister(registrations: string): Promise<number> {
    return postRegistration(registrations, {
      kind: 'deregister',
      life: { instance: this.instance, bornAt: this.bornAt },
    });
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.notices.stateIn(response);
    if (request.url === '/health') {
      response.writeHead(this.draining || this.notices.isLeaving ? 503 : 200, {
        [NAMES.instance]: this.instance,
        [NAMES.load]: `${this.running},0,${this.slots}`,
      });
      response.end();
      return;
    }
    const expected = request.headers[NAMES.expectInstance.toLowerCase()];
    const behaviour = this.behaviours.shift() ?? 'serve';
    const id = String(request.headers[NAMES.requestId.toLowerCase()] ?? '');
    this.notices.noteArrival(id);
    if (expected !== undefined && expected !== this.instance) {
      response.writeHead(421, { [NAMES.requestId]: id, [NAMES.instance]: this.instance });
      response.end();
    } else if (behaviour === 'turn-away' || this.running >= this.slots) {
      response.writeHead(503, { [NAMES.requestId]: id, [NAMES.notRun]: '1' });
      response.end();
    } else {
      // A body that breaks off is not run.
      this.run(request, response, id, behaviour).catch(() => response.destroy());
    }
  }

  private async run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
    behaviour: Behaviour | LongAnswer,
  ): Promise<void> {
    const isLong = typeof behaviour === 'object';
    const isEarly = isLong ? behaviour.isEarly === true : behaviour === 'answer-early';
    const chunks: Buffer[] = [];
    if (!isEarly) {
      for await (const chunk of request) {
        chunks.push(chunk as Buffer);
      }
    }
    this.running += 1;
    this.mostRunning = Math.max(this.mostRunning, this.running);
    const body = Buffer.concat(chunks);
    const { keptBodyBytes, bornAt } = this;
    const run = beginRun({ request, requestId, body, keptBodyBytes, backEnd: this });
    this.runs.push(run);
    let holdsSlot = true;
    const releaseSlot = (): void => {
      this.running -= holdsSlot && this.bornAt === bornAt ? 1 : 0;
      holdsSlot = false;
    };
    const { socket } = request;
    response.on('close', () => {
      const isSent = isLong ? hasSent(socket, behaviour) : response.writableFinished;
      if (!isSent) {
        run.cutAt = performance.now();
      }
      if (isLong || (run.cutAt !== undefined && this.dropsAbandoned)) {
        releaseSlot();
      }
    });
    if (this.crashesUnder(run)) {
      setTimeout(() => this.bornAt === bornAt && this.crash(), this.crashAfterMs);
      return;
    }
    const { slowness = 1, status = 200 } = this.fateOf(run);
    await delay(this.serviceMs * slowness);
    const calls = this.callsOf(run);
    const haveCallsSucceeded = !calls || (await makeCalls(calls, run, response));
    const isDropped = run.cutAt !== undefined && this.dropsAbandoned;
    if (this.bornAt !== bornAt || isDropped) {
      return;
    }
    if (!isLong) {
      releaseSlot();
    }
    if (run.cutAt === undefined) {
      run.answeredAt = performance.now();
    }
    this.notices.stateIn(response);
    const { instance } = this;
    answer(request, response, {
      requestId,
      behaviour,
      status: haveCallsSucceeded ? status : FAILED_CALL_STATUS,
      instance,
      leastBytes: this.answerBytes,
    });
  }
}
