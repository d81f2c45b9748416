/** The decider's words to the owners of the version: how many requests each may let through. */
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

/** A limit that has risen is told to its owner so often, in milliseconds, while there is time, ... */
const LIMIT_RENEWAL_MS = 500;

/** ... and one that has not so often, since a word may be lost. */
const SAME_LIMIT_RENEWAL_MS = 2_000;

/** A call that tells an owner something takes no longer, in milliseconds. */
const SEND_TIMEOUT_MS = 500;

/** What is needed of the node. */
export interface OwnerNotifierContext {
  readonly clock: Clock;
  readonly caller: Pick<PeerClient, 'sendAnnouncement'>;
  readonly directory: Pick<OwnerDirectory, 'ownersOf'>;
  readonly own: () => OwnerRecord;
  /** A limit of the owner here. */
  readonly onLocalLimit: (news: LimitMessage) => void;
}

/** What each count of an owner was told last, and when. */
export type SentLimits = Map<string, RunLimit & { readonly at: number }>;

export interface OwnerNotifier {
  /** Tells each owner of the plan its limit, if it is time to. */
  sendLimits(rollout: RunningRollout, step: RolloutStep, toldLimits: SentLimits): void;
  /** Tells one owner something. */
  send(owner: OwnerEntry, news: RolloutMessage): void;
}

export function createOwnerNotifier(context: OwnerNotifierContext): OwnerNotifier {
  const { clock, caller, directory, own, onLocalLimit } = context;

  const send = ({ record }: OwnerEntry, news: RolloutMessage): void => {
    const content = encodeRolloutMessage(news);
    const message = { topic: AnnouncementTopic.Rollouts, content, shouldForward: false };
    void caller.sendAnnouncement(record.address, message, SEND_TIMEOUT_MS);
  };

  const tellOwner = (news: LimitMessage): void => {
    if (news.node === own().node) {
      onLocalLimit(news);
      return;
    }
    const owner = directory.ownersOf(news.service).find(({ record }) => record.node === news.node);
    if (owner) {
      send(owner, news);
    }
  };

  return {
    send,
    sendLimits: ({ order, phase }, { limits, isUnlimited }, toldLimits) => {
      const { service, id: orderId } = order;
      const now = clock.now();
      for (const { node, countId, limit } of limits) {
        const told = toldLimits.get(countId);
        const isNew = told?.limit !== limit || told.isUnlimited !== isUnlimited;
        const isUrgent = isLeased(phase) || told?.isUnlimited !== isUnlimited;
        const paceMs = isNew ? LIMIT_RENEWAL_MS : SAME_LIMIT_RENEWAL_MS;
        if ((isNew && isUrgent) || now - (told?.at ?? Number.NEGATIVE_INFINITY) >= paceMs) {
          toldLimits.set(countId, { limit, isUnlimited, at: now });
          const kind = RolloutMessageKind.Limit;
          tellOwner({ kind, service, orderId, node, countId, limit, isUnlimited });
        }
      }
    },
  };
}
