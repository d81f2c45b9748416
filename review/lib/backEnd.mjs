/** A stand-in of a back end, as PROTOCOL.md describes it: slots, health and heartbeats. */
import http from 'node:http';

const HEALTH_PATH = '/health';

/** Time for the part that was sent before a reset to arrive, in milliseconds. */
const RESET_DELAY_MS = 30;

/** Time from the first half of an answer to silence, in milliseconds: others get as far. */
const SILENCE_DELAY_MS = 400;

let count = 0;

export class BackEndStandIn {
  state = 'ready';
  running = 0;
  /** All requests that it has run. */
  runs = [];
  /** Milliseconds of work for each request. */
  workMs = 100;
  /** Least length of an answer's body, in bytes. */
  answerBytes = 0;
  /** False if its answers have no length and end with their connection. */
  hasAnswerLength = true;
  /** Resets every n-th answer without a length after its first half; 0 for none. */
  resetEvery = 0;
  #answerCount = 0;
  /** True if it sends half of an answer with a length and then falls silent, on all connections. */
  fallsSilent = false;
  #isSilent = false;
  #sequence = 0;
  #timer;
  #server = http.createServer((request, response) => this.#serve(request, response));

  constructor({ service, zone, slots, record }) {
    count += 1;
    this.id = `i-${process.pid.toString(16)}${count}`;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.record = record;
    this.#server.keepAliveTimeout = 10_000;
  }

  async listen(host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.address = `${host}:${port}`;
  }

  /** Sends heartbeats to the `control` address of its node until it is closed. */
  startHeartbeats(control, intervalMs) {
    this.control = control;
    const beat = () => void this.#heartbeat().catch(() => {});
    this.#timer = setInterval(beat, intervalMs);
    beat();
  }

  /** Ends at once, with its connections: a crash. */
  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #heartbeat() {
    this.#sequence += 1;
    return this.#post(`/v1/Instances.Heartbeat/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      'cold-remaining-s': 0,
      'call-sequence': this.#sequence,
    });
  }

  #post(path, body) {
    const [host, port] = this.control.split(':');
    const headers = { 'content-type': 'application/json' };
    return new Promise((resolve, reject) => {
      const options = { host, port, path, method: 'POST', agent: false, headers };
      const request = http.request(options, (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
      });
      request.setTimeout(1_000, () => request.destroy(new Error('no acknowledgement')));
      request.on('error', reject);
      request.end(JSON.stringify(body));
    });
  }

  #serve(request, response) {
    response.on('error', () => {});
    request.on('error', () => {});
    if (this.#isSilent) {
      return;
    }
    const load = { 'X-Server-Load': `${this.running},0,${this.slots}` };
    if (request.url === HEALTH_PATH) {
      response.writeHead(this.state === 'ready' ? 200 : 503, { ...load, 'X-Instance-Id': this.id });
      response.end();
      return;
    }
    const id = request.headers['x-request-id'];
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Request-Id': id, 'X-Instance-Id': this.id });
      response.end();
    } else if (this.running >= this.slots) {
      response.writeHead(503, { 'X-Request-Id': id, 'X-Not-Executed': '1', ...load });
      response.end();
    } else {
      void this.#run(request, response, id, load);
    }
  }

  async #run(request, response, id, load) {
    let bytes = 0;
    try {
      for await (const chunk of request) {
        bytes += chunk.length;
      }
    } catch {
      // A body that breaks off is not run.
      return;
    }
    this.runs.push({ id, bytes });
    this.running += 1;
    this.record({ event: 'run begins', id, backEnd: this.id, bytes });
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    this.running -= 1;
    const body = Buffer.from(`answer to ${id} `.padEnd(this.answerBytes, 'x'));
    const fields = { ...load, 'X-Request-Id': id, 'X-Server-Signature': `${this.id}.${id}` };
    this.record({ event: 'run ends', id, backEnd: this.id, answerBytes: body.length });
    if (this.fallsSilent) {
      this.record({ event: 'falls silent in its answer', id, backEnd: this.id });
      response.writeHead(200, { ...fields, 'Content-Length': body.length });
      response.write(body.subarray(0, body.length / 2));
      setTimeout(() => this.#beSilent(), SILENCE_DELAY_MS);
    } else if (this.hasAnswerLength) {
      response.writeHead(200, { ...fields, 'Content-Length': body.length });
      response.end(body);
    } else {
      this.#answerWithoutLength(request.socket, id, fields, body);
    }
  }

  #beSilent() {
    this.#isSilent = true;
    clearInterval(this.#timer);
  }

  /** Such an answer ends with its connection (RFC 9112, section 6.3, rule 8). */
  #answerWithoutLength(socket, id, fields, body) {
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
    socket.write(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\nConnection: close\r\n\r\n`);
    this.#answerCount += 1;
    if (this.resetEvery === 0 || this.#answerCount % this.resetEvery !== 0) {
      socket.end(body);
      return;
    }
    const part = body.subarray(0, body.length / 2);
    socket.write(part, () => {
      setTimeout(() => {
        this.record({ event: 'connection is reset', id, backEnd: this.id, sentBytes: part.length });
        socket.resetAndDestroy();
      }, RESET_DELAY_MS);
    });
  }
}
