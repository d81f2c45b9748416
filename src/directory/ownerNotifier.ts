/** Sends the owners of the target version their limits: how many requests each may let through. */
import type { Clock } from '../model/clock.js';
import type { PeerClient } from '../peer/peerClient.js';
import { AnnouncementTopic } from '../peer/peerMessages.js';
import type { RolloutStep } from '../rollout/rolloutDecider.js';
import {
  encodeRolloutMessage,
  type LimitMessage,
  type RolloutMessage,
  RolloutMessageKind,
} from '../rollout/rolloutMessages.js';
import { isLeased } from '../rollout/rolloutOrder.js';
import type { RunningRollout } from '../rollout/rolloutTracker.js';
import type { RunLimit } from '../rollout/runLimiter.js';
import type { OwnerDirectory } from './owner-directory.js';
import type { OwnerEntry, OwnerRecord } from './owner-entry.js';

/** Interval in milliseconds at which changed limits that are not urgent are sent to an owner. */
const LIMIT_RENEWAL_MS = 500;

/** Interval in milliseconds at which an unchanged limit is sent again, as messages may be lost. */
const SAME_LIMIT_RENEWAL_MS = 2_000;

/** Timeout in milliseconds of sending a message to an owner. */
const SEND_TIMEOUT_MS = 500;

/** Dependencies on the rest of the node. */
export interface OwnerNotifierContext {
  readonly clock: Clock;
  readonly caller: Pick<PeerClient, 'sendAnnouncement'>;
  readonly directory: Pick<OwnerDirectory, 'ownersOf'>;
  readonly own: () => OwnerRecord;
  /** Receives a limit for the owner on this node. */
  readonly onLocalLimit: (message: LimitMessage) => void;
}

/** The last limit sent for each of the owners' counts (by `countId`), and when it was sent. */
export type SentLimits = Map<string, RunLimit & { readonly at: number }>;

export interface OwnerNotifier {
  /** Sends each owner of the plan its limit, if that is due. */
  sendLimits(rollout: RunningRollout, step: RolloutStep, sentLimits: SentLimits): void;
  send(owner: OwnerEntry, message: RolloutMessage): void;
}

export function createOwnerNotifier(context: OwnerNotifierContext): OwnerNotifier {
  const { clock, caller, directory, own, onLocalLimit } = context;

  const send = ({ record }: OwnerEntry, message: RolloutMessage): void => {
    const content = encodeRolloutMessage(message);
    const announcement = { topic: AnnouncementTopic.Rollouts, content, shouldForward: false };
    void caller.sendAnnouncement(record.address, announcement, SEND_TIMEOUT_MS);
  };

  const sendLimit = (message: LimitMessage): void => {
    if (message.node === own().node) {
      onLocalLimit(message);
      return;
    }
    const owner = directory
      .ownersOf(message.service)
      .find(({ record }) => record.node === message.node);
    if (owner) {
      send(owner, message);
    }
  };

  return {
    send,
    sendLimits: ({ order, phase }, { limits, isUnlimited }, sentLimits) => {
      const { service, id: orderId } = order;
      const now = clock.now();
      for (const { node, countId, limit } of limits) {
        const last = sentLimits.get(countId);
        const isNew = last?.limit !== limit || last.isUnlimited !== isUnlimited;
        const isUrgent = isLeased(phase) || last?.isUnlimited !== isUnlimited;
        const intervalMs = isNew ? LIMIT_RENEWAL_MS : SAME_LIMIT_RENEWAL_MS;
        if ((isNew && isUrgent) || now - (last?.at ?? Number.NEGATIVE_INFINITY) >= intervalMs) {
          sentLimits.set(countId, { limit, isUnlimited, at: now });
          const kind = RolloutMessageKind.Limit;
          sendLimit({ kind, service, orderId, node, countId, limit, isUnlimited });
        }
      }
    },
  };
}
