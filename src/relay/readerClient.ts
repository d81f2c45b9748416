/**
 * This node's questions to the nodes that read the store for others: whom it asks, how long it waits for
 * an answer, and who is left in peace for a while.
 */
import type { Clock } from '../model/clock.js';
import type { StoreChanges, StoreQuery, StoreResult } from '../source/object-store.js';
import type { StoreCache } from './storeCache.js';
import type { ZoneAssignment, ZoneNode } from './zoneReaders.js';

/** A reader that did not answer is not asked again for so long, in milliseconds. */
const SILENT_REST_MS = 5_000;

/**
 * A reader that knows the list gives it at once. After a loss of power it is about to start itself, so
 * a node that starts does not wait for it longer than this, in milliseconds: the store serves it too.
 */
const LIST_PATIENCE_MS = 150;

/**
 * A follower's watch of the directory waits so many times longer than that of a configuration: an
 * owner that is known late breaks no promise, and each watch costs both nodes processor time. One of
 * any other kind waits as long as it is asked to: it still brings each change at once, and what it is
 * about goes from node to node as well.
 */
const DIRECTORY_PACES = 4;

/** What a reader says for the store; undefined when none speaks for it. */
export type ReaderAnswer = StoreResult<StoreChanges<unknown>> | undefined;

/** What is needed of the node. */
export interface ReaderClientContext {
  readonly clock: Clock;
  readonly cache: Pick<StoreCache, 'singleObjectRevision'>;
  /** Kind of the records by which nodes find one another. */
  readonly nodeKind: string;
  /** Kind of the objects that are to be in force in time everywhere. */
  readonly configurationKind: string;
  /** Milliseconds for which a follower's watch waits. */
  readonly longPollMs: number;
  /** Milliseconds beyond the pace after which a reader counts as silent. */
  readonly responseTimeoutMs: number;
  readonly zoneAssignment: () => ZoneAssignment;
  /** True while this node reads by itself, for others too. */
  readonly isReader: () => boolean;
  /** Asks a reader; undefined when it is silent. */
  readonly ask: (address: string, question: StoreQuery, timeoutMs: number) => Promise<ReaderAnswer>;
  /** A reader has spoken for the store. */
  readonly onAnswered: () => void;
  /** A reader was silent. */
  readonly onTimeout: () => void;
  /** The node now reads by way of another one (its name), or by itself, and why. */
  readonly onReaderChange: (reader: string | undefined, cause: string) => void;
}

export interface ReaderClient {
  /** True while this node reads by way of another one. */
  readonly isFollowing: boolean;
  /** The reader of the own zone to ask now; undefined for a node that is to ask the store. */
  selectReader(): ZoneNode | undefined;
  /** Asks a reader for all objects of a kind. */
  list(from: ZoneNode, kind: string): Promise<ReaderAnswer>;
  /**
   * Asks a reader for the changes after a revision; if it cannot speak for the store, maybe another one
   * that the node prefers.
   */
  watch(from: ZoneNode, kind: string, revision: number, waitMs: number): Promise<ReaderAnswer>;
  /** Asks another zone's reader: the store has not answered this node. */
  askOtherZone(question: StoreQuery): Promise<ReaderAnswer>;
  /** The node reads by itself now. */
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
  const restingUntil = new Map<string, number>();
  let reader: string | undefined;

  const noteReader = (next: string | undefined, cause: string) => {
    if (next !== reader) {
      reader = next;
      context.onReaderChange(next, cause);
    }
  };
  const isAwake = ({ address }: ZoneNode) => clock.now() >= (restingUntil.get(address) ?? 0);

  /** How long a follower's watch waits, in milliseconds: a silent reader is found out after that. */
  const longestWaitMs = (kind: string): number => {
    if (kind === configurationKind) {
      return longPollMs;
    }
    return kind === nodeKind ? longPollMs * DIRECTORY_PACES : Number.POSITIVE_INFINITY;
  };

  /** Undefined when the reader is silent; as unavailable when it cannot speak for the store now. */
  const ask = async (from: ZoneNode, question: StoreQuery): Promise<ReaderAnswer> => {
    const isList = question.revision === undefined;
    const timeoutMs = isList ? LIST_PATIENCE_MS : question.waitMs + responseTimeoutMs;
    const base = cache.singleObjectRevision(question.kind);
    const result = await context.ask(from.address, { ...question, base }, timeoutMs);
    if (spoken(result)) {
      noteReader(from.node, 'answered');
      context.onAnswered();
      return result;
    }
    if (!result) {
      context.onTimeout();
    }
    restingUntil.set(from.address, clock.now() + (result ? longPollMs : SILENT_REST_MS));
    noteReader(undefined, `${from.node} ${result ? 'unavailable' : 'silent'}`);
    return result;
  };

  /** A reader that comes before this one in the node's order and does not rest. */
  const preferredTo = ({ address }: ZoneNode): ZoneNode | undefined => {
    const { readers } = zoneAssignment();
    const place = readers.findIndex((each) => each.address === address);
    return readers.slice(0, Math.max(place, 0)).find(isAwake);
  };

  /**
   * Asks a reader, and if that has ceased to read, the one that it was asked in place of: a node that
   * reads only because others asked it while their first reader rested ceases when they ask no more,
   * and a watch that still waits there ends so. Readers that come after it are not asked: they know
   * no earlier version of what this node holds, and would send it whole. A configuration is asked of
   * the store at once, since the time within which it must be in force has room for one more call.
   */
  const watch = async (from: ZoneNode, question: StoreQuery): Promise<ReaderAnswer> => {
    const answer = await ask(from, question);
    const hasCeased = answer !== undefined && !spoken(answer);
    if (!hasCeased || question.kind === configurationKind || isReader()) {
      return spoken(answer);
    }
    const preferred = preferredTo(from);
    return preferred && (await watch(preferred, question));
  };

  return {
    get isFollowing() {
      return reader !== undefined;
    },
    selectReader: () => (isReader() ? undefined : zoneAssignment().readers.find(isAwake)),
    list: async (from, kind) => spoken(await ask(from, { kind, revision: undefined, waitMs: 0 })),
    watch: (from, kind, revision, waitMs) =>
      watch(from, { kind, revision, waitMs: Math.min(waitMs, longestWaitMs(kind)) }),
    askOtherZone: async (question) => {
      const from = zoneAssignment().otherZoneReaders().find(isAwake);
      return from && spoken(await ask(from, question));
    },
    noteDirect: (cause) => noteReader(undefined, cause),
  };
}

/** An answer that speaks for the store. */
function spoken(answer: ReaderAnswer): ReaderAnswer {
  return answer?.ok || answer?.failure === 'history-gone' ? answer : undefined;
}
