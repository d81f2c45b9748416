/** How this node reaches each owner: the one beside it in the same process, any other over the network. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import { OwnerEntry, type OwnerRecord } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import type { LocalOwner } from '../owner/local-owner.js';
import { sendWindowOf } from '../peer/bodySender.js';
import type { SentObserver } from '../peer/peerConnection.js';
import type { PeerReport, PeerSender } from '../peer/peerMessages.js';
import { RemoteOwner } from '../peer/remoteOwner.js';
import type { SidecarSettings } from './sidecar-settings.js';

/** What the entries need of their node. */
export interface OwnerEntriesContext {
  readonly settings: () => SidecarSettings;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly owner: LocalOwner;
  readonly sender: () => PeerSender;
  readonly report: () => PeerReport;
  readonly onSent: SentObserver;
  readonly onReply: (tookMs: number) => void;
  /** A node at this address has told the version of its configuration. */
  readonly onVersion: (address: string, version: number) => void;
}

/** Makes the entry of an owner for the directory. */
export function createOwnerEntries(
  context: OwnerEntriesContext,
): (known: OwnerRecord) => OwnerEntry {
  const { settings, clock, log, owner, sender, report, onSent, onReply, onVersion } = context;
  return (known) => {
    if (known.node === settings().node) {
      return new OwnerEntry(known, owner, report);
    }
    const remote = new RemoteOwner(known.address, {
      clock,
      sender,
      connectionOptions: { onSent, window: sendWindowOf(settings().linkMbps, known.linkMbps) },
      onReply,
      onReport: (told) => {
        entry.noteReport(told, clock.now());
        onVersion(known.address, told.version);
      },
      onFailure: (cause) => {
        if (!entry.absenceReason) {
          log.event('owner', { owner: known.node, change: 'absent', detail: cause });
        }
        entry.markAbsent('silent', clock.now());
      },
    });
    const entry = new OwnerEntry(known, remote);
    return entry;
  };
}

/** This node's own record, as the other nodes get it. */
export function ownRecordOf(settings: SidecarSettings): OwnerRecord {
  const { node, zone, service, listen, linkMbps, region, labels } = settings;
  return {
    node,
    address: listen.peers,
    zone,
    service,
    ...(linkMbps === undefined ? {} : { linkMbps }),
    ...(region === undefined ? {} : { region }),
    ...(labels === undefined ? {} : { labels }),
  };
}
