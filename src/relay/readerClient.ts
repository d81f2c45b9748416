/**
 * Sends this node's queries to the nodes that read the store for others. It selects the reader to
 * ask, limits the time to wait for an answer, and for a while asks no reader that has not answered
 * or has answered `unavailable`.
 */
import type { Clock } from '../model/clock.js';
import type { StoreChanges, StoreQuery, StoreResult } from '../source/object-store.js';
import type { StoreCache } from './storeCache.js';
import type { ZoneAssignment, ZoneNode } from './zoneReaders.js';

/** Backoff after a reader has not answered in time, in milliseconds. */
const SILENT_READER_BACKOFF_MS = 5_000;

/**
 * Timeout of a list request to a reader, in milliseconds. A reader that has the list answers at
 * once. After a loss of power the reader may still be starting, so a node that starts waits for it
 * no longer than this: it can get the list from the store.
 */
const LIST_TIMEOUT_MS = 150;

/**
 * Factor by which a follower's watch of the directory waits longer than its watch of the
 * configuration: an owner that is discovered late breaks no guarantee, and each watch costs both
 * nodes processor time. A watch of any other kind waits as long as its caller asks: it still
 * returns each change at once, and nodes also announce these objects to one another.
 */
const DIRECTORY_WAIT_FACTOR = 4;

/** A reader's answer in place of the store. Undefined if no reader gave one. */
export type ReaderAnswer = StoreResult<StoreChanges<unknown>> | undefined;

/** Dependencies of the reader client on the rest of the node. */
export interface ReaderClientContext {
  readonly clock: Clock;
  readonly cache: Pick<StoreCache, 'singleObjectRevision'>;
  /** Kind of the records by which nodes find one another. */
  readonly nodeKind: string;
  /** Kind of the configuration, which must be in force on all nodes within a fixed time. */
  readonly configurationKind: string;
  /** Wait of a follower's watch of the configuration, in milliseconds. */
  readonly longPollMs: number;
  /** Milliseconds beyond the wait of a watch after which its reader counts as silent. */
  readonly responseTimeoutMs: number;
  readonly zoneAssignment: () => ZoneAssignment;
  /** True while this node reads from the store directly, for other nodes too. */
  readonly isReader: () => boolean;
  /** Sends a query to a reader. Resolves with undefined if the reader does not answer in time. */
  readonly ask: (address: string, query: StoreQuery, timeoutMs: number) => Promise<ReaderAnswer>;
  /** Called when a reader has answered in place of the store. */
  readonly onAnswered: () => void;
  /** Called when a reader has not answered in time. */
  readonly onTimeout: () => void;
  /**
   * Called when the reader in use changes, with its name and the cause. The name is undefined if
   * this node now reads from the store directly.
   */
  readonly onReaderChange: (reader: string | undefined, cause: string) => void;
}

export interface ReaderClient {
  /** True while this node reads through another node. */
  readonly isFollowing: boolean;
  /** Returns the reader of the own zone to ask. Undefined if this node is to ask the store. */
  selectReader(): ZoneNode | undefined;
  /** Asks a reader for all objects of a kind. */
  list(reader: ZoneNode, kind: string): Promise<ReaderAnswer>;
  /**
   * Asks a reader for the changes after a revision. If that reader cannot answer in place of the
   * store, the query may go on to another reader that this node prefers.
   */
  watch(reader: ZoneNode, kind: string, revision: number, waitMs: number): Promise<ReaderAnswer>;
  /** Asks a reader of another zone. For use when the store has not answered this node. */
  askOtherZone(query: StoreQuery): Promise<ReaderAnswer>;
  /** Notes that this node now reads from the store directly. */
  noteDirect(cause: string): void;
}

export function createReaderClient(context: ReaderClientContext): ReaderClient {
  const {
    clock,
    cache,
    nodeKind,
    configurationKind,
    longPollMs,
    responseTimeoutMs,
    zoneAssignment,
    isReader,
  } = context;
  const backoffUntil = new Map<string, number>();
  let currentReader: string | undefined;

  const noteReader = (next: string | undefined, cause: string) => {
    if (next !== currentReader) {
      currentReader = next;
      context.onReaderChange(next, cause);
    }
  };
  const isAvailable = ({ address }: ZoneNode) => clock.now() >= (backoffUntil.get(address) ?? 0);

  /**
   * Longest wait of a follower's watch, in milliseconds; infinite except for the configuration and
   * the directory. A silent reader is detected after the wait and the response timeout.
   */
  const longestWaitMs = (kind: string): number => {
    if (kind === configurationKind) {
      return longPollMs;
    }
    return kind === nodeKind ? longPollMs * DIRECTORY_WAIT_FACTOR : Number.POSITIVE_INFINITY;
  };

  /**
   * Sends a query to a reader. Undefined if the reader is silent; a failure `unavailable` if it
   * cannot answer in place of the store now.
   */
  const ask = async (reader: ZoneNode, query: StoreQuery): Promise<ReaderAnswer> => {
    const isList = query.revision === undefined;
    const timeoutMs = isList ? LIST_TIMEOUT_MS : query.waitMs + responseTimeoutMs;
    const base = cache.singleObjectRevision(query.kind);
    const result = await context.ask(reader.address, { ...query, base }, timeoutMs);
    if (storeAnswer(result)) {
      noteReader(reader.node, 'answered');
      context.onAnswered();
      return result;
    }
    if (!result) {
      context.onTimeout();
    }
    backoffUntil.set(
      reader.address,
      clock.now() + (result ? longPollMs : SILENT_READER_BACKOFF_MS),
    );
    noteReader(undefined, `${reader.node} ${result ? 'unavailable' : 'silent'}`);
    return result;
  };

  /** The first available reader that precedes the given one in this node's order of preference. */
  const preferredTo = ({ address }: ZoneNode): ZoneNode | undefined => {
    const { readers } = zoneAssignment();
    const index = readers.findIndex((each) => each.address === address);
    return readers.slice(0, Math.max(index, 0)).find(isAvailable);
  };

  /**
   * Sends a watch to a reader. If that reader answers `unavailable`, the watch goes on to a reader
   * that this node prefers to it. This happens when some nodes asked the first reader only while
   * their preferred one was in backoff: once they no longer ask it, it stops reading for others,
   * and a watch that still waits at it ends. Readers further down in the order are not asked: they
   * do not have the version that this node holds, and would send the whole object. A configuration
   * is requested from the store at once instead, since the time within which it must be in force
   * leaves room for only one more call.
   */
  const watch = async (reader: ZoneNode, query: StoreQuery): Promise<ReaderAnswer> => {
    const answer = await ask(reader, query);
    const isUnavailable = answer !== undefined && !storeAnswer(answer);
    if (!isUnavailable || query.kind === configurationKind || isReader()) {
      return storeAnswer(answer);
    }
    const preferred = preferredTo(reader);
    return preferred && (await watch(preferred, query));
  };

  return {
    get isFollowing() {
      return currentReader !== undefined;
    },
    selectReader: () => (isReader() ? undefined : zoneAssignment().readers.find(isAvailable)),
    list: async (reader, kind) =>
      storeAnswer(await ask(reader, { kind, revision: undefined, waitMs: 0 })),
    watch: (reader, kind, revision, waitMs) =>
      watch(reader, { kind, revision, waitMs: Math.min(waitMs, longestWaitMs(kind)) }),
    askOtherZone: async (query) => {
      const reader = zoneAssignment().otherZoneReaders().find(isAvailable);
      return reader && storeAnswer(await ask(reader, query));
    },
    noteDirect: (cause) => noteReader(undefined, cause),
  };
}

/**
 * Returns a success or `history-gone`, which a reader gives in place of the store. Undefined for
 * any other failure or if there is no answer.
 */
function storeAnswer(answer: ReaderAnswer): ReaderAnswer {
  return answer?.ok || answer?.failure === 'history-gone' ? answer : undefined;
}
