/**
 * A small stand-in of the platform's metadata store over HTTP, as PROTOCOL.md describes it: objects by
 * kind and name, one counter of revisions, lists, watches and conditional writes.
 */
import http from 'node:http';

const LONGEST_WAIT_MS = 30_000;

export class StoreStandIn {
  revision = 0;
  /** Called before a call is answered; may return milliseconds of delay, or `'drop'`. */
  onCall = () => 0;
  #kinds = new Map();
  #log = [];
  #waiting = new Set();
  #server = http.createServer((request, response) => void this.#serve(request, response));

  async listen(host) {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes as the operator does. Returns the acknowledged object. */
  put(kind, name, spec) {
    return this.#set(kind, name, { spec });
  }

  get(kind, name) {
    return this.#kindOf(kind).get(name);
  }

  #kindOf(kind) {
    const objects = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, objects);
    return objects;
  }

  #set(kind, name, change) {
    const known = this.#kindOf(kind).get(name);
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        made: known?.metadata.made ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      spec: known?.spec ?? null,
      status: known?.status ?? null,
      ...change,
    };
    this.#kindOf(kind).set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  #remove(kind, name) {
    const object = this.#kindOf(kind).get(name);
    this.#kindOf(kind).delete(name);
    this.revision += 1;
    this.#record(kind, object, true);
  }

  #record(kind, object, gone) {
    this.#log.push({ kind, object, gone, revision: this.revision });
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  async #serve(request, response) {
    const chunks = [];
    request.on('error', () => {});
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://store');
    const [kind, name, part] = url.pathname
      .replace('/v1/objects/', '')
      .split('/')
      .map(decodeURIComponent);
    const call = { method: request.method, kind, name, part, query: url.searchParams };
    const trouble = await this.onCall(call);
    if (trouble === 'drop') {
      return;
    }
    if (trouble > 0) {
      await new Promise((resolve) => setTimeout(resolve, trouble));
    }
    const { status, body } = await this.#answer(call, text === '' ? {} : JSON.parse(text));
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  #answer(call, body) {
    const { method, kind, name, query } = call;
    if (method === 'GET') {
      return name === undefined ? this.#list(kind, query) : this.#one(kind, name);
    }
    if (method === 'POST') {
      const made = body.metadata.name;
      const known = this.#kindOf(kind).get(made);
      return known
        ? { status: 409, body: known }
        : { status: 200, body: this.#set(kind, made, { spec: body.spec }) };
    }
    return this.#write(call, body);
  }

  #one(kind, name) {
    const object = this.#kindOf(kind).get(name);
    return object ? { status: 200, body: object } : { status: 404, body: {} };
  }

  async #list(kind, query) {
    if (query.has('watch')) {
      return this.#watch(kind, Number(query.get('watch')), Number(query.get('wait-ms') ?? 0));
    }
    const after = query.get('after') ?? '';
    const names = [...this.#kindOf(kind).keys()].filter((name) => name > after).sort();
    const items = names.map((name) => this.#kindOf(kind).get(name));
    return { status: 200, body: { items, more: false, at: this.revision } };
  }

  async #watch(kind, from, waitMs) {
    const until = Date.now() + Math.min(waitMs, LONGEST_WAIT_MS);
    for (;;) {
      const changes = this.#log.filter((each) => each.kind === kind && each.revision > from);
      const leftMs = until - Date.now();
      if (changes.length > 0 || leftMs <= 0) {
        const events = changes.map(({ object, gone }) => ({ object, gone }));
        return { status: 200, body: { events, at: this.revision } };
      }
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          this.#waiting.delete(done);
          resolve();
        };
        const timer = setTimeout(done, leftMs);
        this.#waiting.add(done);
      });
    }
  }

  #write({ method, kind, name, part, query }, body) {
    const known = this.#kindOf(kind).get(name);
    if (!known) {
      return { status: 404, body: {} };
    }
    const expected = body.metadata?.revision ?? query.get('revision') ?? undefined;
    if (expected !== undefined && Number(expected) !== known.metadata.revision) {
      return { status: 409, body: known };
    }
    if (method === 'DELETE') {
      this.#remove(kind, name);
      return { status: 200, body: {} };
    }
    const change = part === 'status' ? { status: body.status } : { spec: body.spec };
    return { status: 200, body: this.#set(kind, name, change) };
  }
}
