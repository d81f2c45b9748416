/** Calls to the back end whose ends tell which requests crash it, and which do not. */
import type { Clock } from '../model/clock.js';
import type { CrashAnnouncement, CrashTracker } from '../quarantine/crashTracker.js';
import { type BackEndIncarnation, incarnationName } from '../registry/backEndIncarnation.js';
import { type BackEndCallOptions, type BackEndCallResult, callBackEnd } from './back-end-call.js';
import { createCrashWatch } from './crashWatch.js';
import type { MessageBody } from './message-body.js';
import { crashKeyOf, type OwnerTask } from './owner.js';

/** What is needed of the owner. */
export interface WatchedCallsContext {
  readonly clock: Clock;
  readonly ledger: CrashTracker;
  /** The back end has crashed; called before `onNews`. */
  readonly onCrash: (life: BackEndIncarnation, news: CrashAnnouncement) => void;
  /** The back end has crashed, or a suspect has run to its end: other nodes are to know. */
  readonly onNews: (news: CrashAnnouncement) => void;
}

export interface WatchedCalls {
  /**
   * As `callBackEnd`; a crash is known to the ledger, and on its way to other nodes, before this
   * resolves: the task may be offered to one of them next.
   */
  call(task: OwnerTask, body: MessageBody, options: BackEndCallOptions): Promise<BackEndCallResult>;
  /** This life is there; the one before has ended. */
  onLife(life: BackEndIncarnation): void;
}

export function createWatchedCalls(context: WatchedCallsContext): WatchedCalls {
  const { clock, ledger, onCrash, onNews } = context;
  const crashes = createCrashWatch({
    clock,
    onCrash: (life, underWay) => {
      const news = ledger.noteCrash(incarnationName(life), underWay, clock.now());
      onCrash(life, news);
      onNews(news);
    },
  });
  return {
    call: async (task, body, options) => {
      const { instance, bornAt, address } = options.backEnd;
      const key = crashKeyOf(task);
      const hadPriorCrash = ledger.crashesOf(key.fingerprint) > 0;
      const run = { life: { instance, bornAt }, address, request: { ...key, hadPriorCrash } };
      crashes.begin(run);
      const result = await callBackEnd(task, body, options);
      const news =
        result.outcome.kind === 'answer' ? ledger.noteCompleted(key, clock.now()) : undefined;
      if (news) {
        onNews(news);
      }
      const hasCrashed = await crashes.end(run, result.outcome);
      return { ...result, unreachable: result.unreachable || hasCrashed };
    },
    onLife: crashes.onLife,
  };
}
