/** Calls the back end and records which requests crash it and which complete. */
import type { Clock } from '../model/clock.js';
import type { CrashAnnouncement, CrashTracker, RequestKey } from '../quarantine/crashTracker.js';
import { type BackEndIncarnation, incarnationName } from '../registry/backEndIncarnation.js';
import { type BackEndCallOptions, type BackEndCallResult, callBackEnd } from './back-end-call.js';
import { createCrashDetector } from './crashDetector.js';
import type { MessageBody } from './message-body.js';
import { afterEnd } from './outcomeEnd.js';
import { crashKeyOf, type OwnerOutcome, type OwnerTask } from './owner.js';

/** The parts of the owner that the calls use. */
export interface MonitoredCallsContext {
  readonly clock: Clock;
  readonly ledger: CrashTracker;
  /** The back end has crashed; called before `onCrashAnnouncement`. */
  readonly onCrash: (incarnation: BackEndIncarnation, announcement: CrashAnnouncement) => void;
  /**
   * Announces to other nodes that the back end has crashed or that a suspect request has completed.
   */
  readonly onCrashAnnouncement: (announcement: CrashAnnouncement) => void;
}

/** A call whose outcome is final. */
export interface EndedBackEndCall extends BackEndCallResult {
  /**
   * Milliseconds until the outcome was known. For a streamed answer this is its beginning: how long
   * the rest took depends on its reader too.
   */
  readonly tookMs: number;
}

export interface MonitoredCalls {
  /**
   * Works like `callBackEnd`. Calls `onEnded` when the outcome is final, before it resolves or, for
   * a streamed answer, before the answer's end does. By then, a crash is recorded and its
   * announcement is on the way to other nodes, since the task may be offered to one of them next.
   */
  call(
    task: OwnerTask,
    body: MessageBody,
    options: BackEndCallOptions,
    onEnded: (ended: EndedBackEndCall) => void,
  ): Promise<OwnerOutcome>;
  /** Records the present incarnation. The previous one has ended. */
  noteIncarnation(incarnation: BackEndIncarnation): void;
}

export function createMonitoredCalls(context: MonitoredCallsContext): MonitoredCalls {
  const { clock, ledger, onCrash, onCrashAnnouncement } = context;
  const crashDetector = createCrashDetector({
    clock,
    onCrash: (incarnation, inFlight) => {
      const announcement = ledger.noteCrash(incarnationName(incarnation), inFlight, clock.now());
      onCrash(incarnation, announcement);
      onCrashAnnouncement(announcement);
    },
  });
  const noteCompleted = (key: RequestKey): void => {
    const announcement = ledger.noteCompleted(key, clock.now());
    if (announcement) {
      onCrashAnnouncement(announcement);
    }
  };

  return {
    call: async (task, body, options, onEnded) => {
      const { instance, bornAt, address } = options.backEnd;
      const key = crashKeyOf(task);
      const hadPriorCrash = ledger.crashesOf(key.fingerprint) > 0;
      const run = {
        incarnation: { instance, bornAt },
        address,
        request: { ...key, hadPriorCrash },
      };
      const startedAt = clock.now();
      crashDetector.begin(run);
      const result = await callBackEnd(task, body, options);
      const tookMs = clock.now() - startedAt;
      return afterEnd(result.outcome, async (outcome) => {
        if (outcome.kind === 'answer') {
          noteCompleted(key);
        }
        const hasCrashed = await crashDetector.end(run, outcome);
        const unreachable = result.unreachable || hasCrashed;
        onEnded({ ...result, outcome, unreachable, tookMs });
      });
    },
    noteIncarnation: crashDetector.noteIncarnation,
  };
}
