/** Calls the back end and records which requests crash it and which complete. */
import type { Clock } from '../model/clock.js';
import type { CrashAnnouncement, CrashTracker } from '../quarantine/crashTracker.js';
import { type BackEndIncarnation, incarnationName } from '../registry/backEndIncarnation.js';
import { type BackEndCallOptions, type BackEndCallResult, callBackEnd } from './back-end-call.js';
import { createCrashDetector } from './crashDetector.js';
import type { MessageBody } from './message-body.js';
import { crashKeyOf, type OwnerTask } from './owner.js';

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

export interface MonitoredCalls {
  /**
   * Works like `callBackEnd`. Before this resolves, a crash is recorded and its announcement is on
   * the way to other nodes, since the task may be offered to one of them next.
   */
  call(task: OwnerTask, body: MessageBody, options: BackEndCallOptions): Promise<BackEndCallResult>;
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
      crashDetector.begin(run);
      const result = await callBackEnd(task, body, options);
      const announcement =
        result.outcome.kind === 'answer' ? ledger.noteCompleted(key, clock.now()) : undefined;
      if (announcement) {
        onCrashAnnouncement(announcement);
      }
      const hasCrashed = await crashDetector.end(run, result.outcome);
      return { ...result, unreachable: result.unreachable || hasCrashed };
    },
    noteIncarnation: crashDetector.noteIncarnation,
  };
}
