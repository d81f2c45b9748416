/** Calls to the back end whose ends tell which requests crash it, and which do not. */
import type { Clock } from '../model/clock.js';
import type { CrashAnnouncement, CrashTracker } from '../quarantine/crashTracker.js';
import { type BackEndIncarnation, incarnationName } from '../registry/backEndIncarnation.js';
import { type BackEndCallOptions, type BackEndCallResult, callBackEnd } from './back-end-call.js';
import { createCrashDetector } from './crashDetector.js';
import type { MessageBody } from './message-body.js';
import { crashKeyOf, type OwnerTask } from './owner.js';

/** What is needed of the owner. */
export interface MonitoredCallsContext {
  readonly clock: Clock;
  readonly ledger: CrashTracker;
  /** The back end has crashed; called before `onCrashAnnouncement`. */
  readonly onCrash: (life: BackEndIncarnation, news: CrashAnnouncement) => void;
  /** The back end has crashed, or a suspect has run to its end: other nodes are to know. */
  readonly onCrashAnnouncement: (news: CrashAnnouncement) => void;
}

export interface MonitoredCalls {
  /**
   * As `callBackEnd`; a crash is known to the ledger, and on its way to other nodes, before this
   * resolves: the task may be offered to one of them next.
   */
  call(task: OwnerTask, body: MessageBody, options: BackEndCallOptions): Promise<BackEndCallResult>;
  /** This life is there; the one before has ended. */
  noteIncarnation(life: BackEndIncarnation): void;
}

export function createMonitoredCalls(context: MonitoredCallsContext): MonitoredCalls {
  const { clock, ledger, onCrash, onCrashAnnouncement } = context;
  const crashes = createCrashDetector({
    clock,
    onCrash: (life, underWay) => {
      const news = ledger.noteCrash(incarnationName(life), underWay, clock.now());
      onCrash(life, news);
      onCrashAnnouncement(news);
    },
  });
  return {
    call: async (task, body, options) => {
      const { instance, bornAt, address } = options.backEnd;
      const key = crashKeyOf(task);
      const hadPriorCrash = ledger.crashesOf(key.fingerprint) > 0;
      const run = {
        incarnation: { instance, bornAt },
        address,
        request: { ...key, hadPriorCrash },
      };
      crashes.begin(run);
      const result = await callBackEnd(task, body, options);
      const news =
        result.outcome.kind === 'answer' ? ledger.noteCompleted(key, clock.now()) : undefined;
      if (news) {
        onCrashAnnouncement(news);
      }
      const hasCrashed = await crashes.end(run, result.outcome);
      return { ...result, unreachable: result.unreachable || hasCrashed };
    },
    noteIncarnation: crashes.noteIncarnation,
  };
}
