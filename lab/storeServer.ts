/**
 * The store stand-in over HTTP, in the words of the users' platform, for real processes. Each node
 * gets a way of its own, so that troubles can strike one node's calls and spare the others'.
 */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import {
  ReadConsistency,
  type StoredObject,
  type StoreFailure,
  type StoreResult,
} from '../src/source/object-store.js';
import { countOf } from '../src/source/storeRevision.js';
import { type MemoryStore, StoreView } from './memory-store.js';

const STATUS_OF: Readonly<Partial<Record<StoreFailure, number>>> = {
  conflict: 409,
  'not-found': 404,
  'history-gone': 410,
  throttled: 429,
  unavailable: 503,
  rejected: 422,
};

/** An idle connection is kept so long, in milliseconds: stores keep them for minutes. */
const IDLE_LIMIT_MS = 60_000;

/** One node's way to the store. */
export interface StoreWay {
  readonly address: string;
  /** Its faults. */
  readonly view: StoreView;
  /** Milliseconds by which every answer is late. */
  delayMs: number;
  /** While true, calls are taken and not answered. */
  isSilent: boolean;
  /** The connections that stand now answer nothing any more; new ones work. */
  silenceStanding(): void;
  /** The connections that stand now are reset; new ones work. */
  resetStanding(): void;
  close(): void;
}

/** Opens a way to the store on a port of its own. */
export async function openStoreWay(store: MemoryStore): Promise<StoreWay> {
  const view = new StoreView(store);
  const standing = new Set<Socket>();
  const silenced = new WeakSet<Socket>();
  const server = http.createServer((request, response) => {
    answer(request, view)
      .catch(() => undefined)
      .then(async (result) => {
        await new Promise((resolve) => setTimeout(resolve, way.delayMs));
        if (way.isSilent || silenced.has(request.socket)) {
          return;
        }
        if (!result) {
          request.socket.destroy();
          return;
        }
        response.writeHead(result.status, {
          'content-type': 'application/json',
          'store-era': store.era,
        });
        response.end(JSON.stringify(result.body));
      });
  });
  server.keepAliveTimeout = IDLE_LIMIT_MS;
  server.on('connection', (socket) => {
    standing.add(socket);
    socket.on('close', () => standing.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const way: StoreWay = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    view,
    delayMs: 0,
    isSilent: false,
    silenceStanding: () => {
      for (const socket of standing) {
        silenced.add(socket);
      }
    },
    resetStanding: () => {
      for (const socket of standing) {
        socket.resetAndDestroy();
      }
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return way;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Undefined when nothing is to be said of what became of the call. */
async function answer(request: http.IncomingMessage, view: StoreView): Promise<Answer | undefined> {
  const url = new URL(request.url ?? '/', 'http://store');
  const [kind = '', name, part] = url.pathname
    .replace('/v1/objects/', '')
    .split('/')
    .map(decodeURIComponent);
  const body = await bodyOf(request);
  switch (request.method) {
    case 'GET':
      return read(view, kind, name, url.searchParams);
    case 'POST':
      return told(await view.create(kind, body.metadata.name, body.spec), wireObject);
    case 'PUT': {
      const { revision } = body.metadata;
      if (part === 'status') {
        const at = { name: name ?? '', revision };
        return told(await view.replaceStatus(kind, at, body.status), wireObject);
      }
      const object = { name: name ?? '', revision, spec: body.spec };
      return told(await view.replace(kind, object), wireObject);
    }
    case 'DELETE': {
      const revision = Number(url.searchParams.get('revision'));
      return told(await view.remove(kind, name ?? '', revision), () => ({}));
    }
    default:
      return { status: 405, body: {} };
  }
}

async function read(
  view: StoreView,
  kind: string,
  name: string | undefined,
  query: URLSearchParams,
): Promise<Answer | undefined> {
  if (name !== undefined) {
    return told(await view.get(kind, name), wireObject);
  }
  if (query.has('after')) {
    // Lists are short here: a page that goes on after some name has nothing in it.
    return told(await view.probe(), (revision) => ({
      items: [],
      more: false,
      at: countOf(revision),
    }));
  }
  if (query.has('watch')) {
    const waitMs = Number(query.get('wait-ms'));
    return told(await view.watch(kind, Number(query.get('watch')), waitMs), (changes) => ({
      events: changes.events.map(({ object, gone }) => ({ object: wireObject(object), gone })),
      at: countOf(changes.revision),
    }));
  }
  const reading = query.has('stale') ? ReadConsistency.BoundedStaleness : ReadConsistency.Strong;
  return told(await view.list(kind, reading), ({ items, revision }) => ({
    items: items.map(wireObject),
    more: false,
    at: countOf(revision),
  }));
}

function told<Value>(
  result: StoreResult<Value>,
  render: (value: Value) => unknown,
): Answer | undefined {
  if (result.ok) {
    return { status: 200, body: render(result.value) };
  }
  const status = STATUS_OF[result.failure];
  return status === undefined ? undefined : { status, body: {} };
}

function wireObject({ name, revision, spec, status, made }: StoredObject<unknown>) {
  return { metadata: { name, revision: countOf(revision), made }, spec, status };
}

interface WireBody {
  readonly metadata: { readonly name: string; readonly revision: number };
  readonly spec: unknown;
  readonly status?: unknown;
}

async function bodyOf(request: http.IncomingMessage): Promise<WireBody> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  const text = Buffer.concat(chunks).toString();
  return (text === '' ? { metadata: {} } : JSON.parse(text)) as WireBody;
}
