/**
 * Delays work until the process has read what had arrived before. A busy process reads a message
 * and the close of its connection one after the other, in two polls of its sockets: if it acts on
 * the message at once, it works for a sender that has already left.
 */

/** Waits that all callers of a process share. */
export interface ReadBarrier {
  /** Resolves when the data that has arrived so far on any connection has been read. */
  afterPendingReads(): Promise<void>;
  /** Resolves when the connections that were readable at the latest poll have been read once. */
  afterPoll(): Promise<void>;
}

/** `schedule` runs a callback after the next poll of the sockets, as `setImmediate` does. */
export function createReadBarrier(
  schedule: (callback: () => void) => void = setImmediate,
): ReadBarrier {
  let dueNow: (() => void)[] = [];
  let dueAfterNextPoll: (() => void)[] = [];
  let isScheduled = false;

  const onPolled = (): void => {
    isScheduled = false;
    const due = dueNow;
    dueNow = dueAfterNextPoll;
    dueAfterNextPoll = [];
    if (dueNow.length > 0) {
      scheduleOnce();
    }
    for (const resolve of due) {
      resolve();
    }
  };
  const scheduleOnce = (): void => {
    if (!isScheduled) {
      isScheduled = true;
      schedule(onPolled);
    }
  };
  const waitIn = (waiting: () => (() => void)[]): Promise<void> =>
    new Promise((resolve) => {
      waiting().push(resolve);
      scheduleOnce();
    });

  return {
    // A poll reads a readable connection once: the end behind a message is read by the next poll.
    afterPendingReads: () => waitIn(() => dueAfterNextPoll),
    afterPoll: () => waitIn(() => dueNow),
  };
}

/** The barrier of this process. */
export const { afterPendingReads, afterPoll } = createReadBarrier();
