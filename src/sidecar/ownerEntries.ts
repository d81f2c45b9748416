/** Directory entries of owners: the local one is called in process, all others over the network. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import { OwnerEntry, type OwnerRecord } from '../directory/owner-entry.js';
import type { Clock } from '../model/clock.js';
import type { LocalOwner } from '../owner/local-owner.js';
import { sendWindowOf } from '../peer/bodySender.js';
import type { SentObserver } from '../peer/peerConnection.js';
import type { PeerReport, PeerSender } from '../peer/peerMessages.js';
import { RemoteOwner } from '../peer/remoteOwner.js';
import type { SidecarSettings } from './sidecar-settings.js';

/** Dependencies on the node. */
export interface OwnerEntriesContext {
  readonly settings: () => SidecarSettings;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly owner: LocalOwner;
  readonly sender: () => PeerSender;
  readonly report: () => PeerReport;
  readonly onSent: SentObserver;
  readonly onReply: (durationMs: number) => void;
  /** Called with the address of a node and the configuration version that it has reported. */
  readonly onVersion: (address: string, version: number) => void;
}

/** Returns a function that creates the directory entry of an owner. */
export function createOwnerEntries(
  context: OwnerEntriesContext,
): (record: OwnerRecord) => OwnerEntry {
  const { settings, clock, log, owner, sender, report, onSent, onReply, onVersion } = context;
  return (record) => {
    if (record.node === settings().node) {
      return new OwnerEntry(record, owner, report);
    }
    const remote = new RemoteOwner(record.address, {
      clock,
      sender,
      connectionOptions: { onSent, window: sendWindowOf(settings().linkMbps, record.linkMbps) },
      onReply,
      onReport: (peerReport) => {
        entry.noteReport(peerReport, clock.now());
        onVersion(record.address, peerReport.version);
      },
      onFailure: (cause) => {
        if (!entry.absenceReason) {
          log.event('owner', { owner: record.node, change: 'absent', detail: cause });
        }
        entry.markAbsent('silent', clock.now());
      },
    });
    const entry = new OwnerEntry(record, remote);
    return entry;
  };
}

/** This node's own record, as published to the other nodes. */
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
