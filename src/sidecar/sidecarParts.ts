/** Creates the components of a sidecar and connects them. */
import {
  createUnreadableLog,
  type NoteUnreadable,
  UnreadableEntryKind,
} from '../diagnostics/unreadableLog.js';
import { startUsageReporter, type UsageReporter } from '../diagnostics/usageReporter.js';
import { createAnnouncementBroadcast } from '../directory/announcementBroadcast.js';
import { DirectorySync } from '../directory/directory-sync.js';
import { OwnerDirectory } from '../directory/owner-directory.js';
import type { OwnerRecord } from '../directory/owner-entry.js';
import { createQuarantineSync, type QuarantineSync } from '../directory/quarantineSync.js';
import { createCallRoutes } from '../ingress/callRoutes.js';
import type { IngressServer } from '../ingress/ingress-server.js';
import { createSuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { createCallRates } from '../owner/callRates.js';
import { LocalOwner } from '../owner/local-owner.js';
import { NoticeField } from '../owner/noticeHandler.js';
import { sendWindowOf } from '../peer/bodySender.js';
import { PeerClient } from '../peer/peerClient.js';
import { MessageKind, type PeerReport, type PeerSender } from '../peer/peerMessages.js';
import { PeerServer } from '../peer/peerServer.js';
import { createPooledPeerClient, type PooledPeerClient } from '../peer/pooledPeerClient.js';
import { type CrashTracker, createCrashTracker } from '../quarantine/crashTracker.js';
import type { BackEnd } from '../registry/back-end-registry.js';
import type { ZoneRelay } from '../relay/zoneRelay.js';
import { UNCONDITIONAL_PERMIT } from '../rollout/runLimiter.js';
import type { ConfigurationFollower } from '../source/configuration-follower.js';
import { createTenantUsageCounter } from '../tenants/tenantUsage.js';
import {
  recordCrash,
  recordNotice,
  recordOverdue,
  recordRequest,
  recordTask,
} from './decisionRecords.js';
import { createIngressPart } from './ingressPart.js';
import { createOwnerEntries, ownRecordOf } from './ownerEntries.js';
import { createQuotaPart, type QuotaPart } from './quotaPart.js';
import { createRolloutParts, type RolloutParts } from './rolloutParts.js';
import type { SidecarPartsContext } from './sidecarPartsContext.js';
import { createConfigurationPart, createRelayPart } from './storeParts.js';

/** Longest time that one call of a directory or quarantine watch waits, in milliseconds. */
const DIRECTORY_WAIT_MS = 15_000;
/**
 * Directory changes within this time, in milliseconds, are read together. It applies only while
 * the node does not follow a zone's reader.
 */
const DIRECTORY_DEBOUNCE_MS = 500;

const UNREADABLE_FIELDS = {
  [NoticeField.Limit]: UnreadableEntryKind.Limit,
  [NoticeField.Leaving]: UnreadableEntryKind.Leaving,
} as const;

export interface SidecarParts {
  readonly owner: LocalOwner;
  readonly directory: OwnerDirectory;
  readonly sync: DirectorySync;
  readonly quarantines: QuarantineSync;
  /** Undefined if the settings or the platform have no roll-outs. */
  readonly rollouts: RolloutParts | undefined;
  readonly crashTracker: CrashTracker;
  readonly configuration: ConfigurationFollower;
  readonly ingress: IngressServer;
  readonly peers: PeerServer;
  readonly reads: PooledPeerClient;
  readonly relay: ZoneRelay;
  readonly usageReporter: UsageReporter;
  readonly noteUnreadable: NoteUnreadable;
  readonly quotas: QuotaPart;
  /** This node's own record, as published to the other nodes. */
  readonly record: () => OwnerRecord;
}

export function createSidecarParts(context: SidecarPartsContext): SidecarParts {
  const { settings, platform, clocks, log, metrics } = context;
  const { clock, freshnessClock } = clocks;
  const timers = createSuspendAwareTimers(clocks);
  const { names } = platform;
  const { zone } = settings();

  const usageReporter = startUsageReporter(log);
  const onSent = (kind: MessageKind, bytes: number) => {
    usageReporter.noteSent(MessageKind[kind], bytes);
  };

  platform.store.onReceived = (kind, bytes) => {
    usageReporter.noteReceived(kind, bytes);
  };

  const noteUnreadable = createUnreadableLog(clock, log);
  platform.store.onUnreadable = (kind, reason) =>
    noteUnreadable(UnreadableEntryKind.StoreObject, kind, reason);

  const record = () => ownRecordOf(settings());
  const sender = (): PeerSender => ({
    address: settings().listen.peers,
    version: configuration.version,
  });
  const report = (): PeerReport => ({ ...owner.report, version: configuration.version });
  const onStoreConnection = (use: string) => (connected: boolean, detail: string, cause?: string) =>
    log.event('store', { use, connected, detail, cause, version: configuration.version });

  const crashTracker = createCrashTracker();
  const callRates = createCallRates();
  const owner = new LocalOwner({
    clock,
    callRates,
    nodesByService: () => directory.nodesByService(),
    freshnessClock,
    timers,
    ledger: crashTracker,
    onCrash: (incarnation, announcement) =>
      recordCrash({ log, metrics }, incarnation, announcement),
    onCrashAnnouncement: (announcement) => quarantines.publish(announcement),
    names,
    service: () => settings().service,
    backEndAddress: () => settings().backEndAddress,
    healthPath: (service) => configuration.routes?.service(service)?.healthPath,
    isServiceConfigured: (service) => {
      const { routes } = configuration;
      return !routes || service === settings().service || routes.service(service) !== undefined;
    },
    drainMs: () => settings().drainMs,
    onBackEnd: (backEnd, cause) => onBackEnd(backEnd, cause),
    onRun: (run) => rollouts?.sync.recordRun(run),
    tenantShare: (tenant) => configuration.routes?.tenantShare(tenant) ?? 1,
    acquirePermit: () => (rollouts ? rollouts.sync.acquirePermit() : UNCONDITIONAL_PERMIT),
    onTask: (task) => recordTask({ log, metrics }, task, owner.report),
    onOverdue: (run) => recordOverdue({ log, metrics }, run),
    onNoticeChange: (change) => recordNotice({ log, metrics }, change),
    onUnreadableNotice: ({ instance }, field, { path, message }) =>
      noteUnreadable(UNREADABLE_FIELDS[field], instance, `${path}: ${message}`),
  });

  const createEntry = createOwnerEntries({
    settings,
    clock,
    log,
    owner,
    sender,
    report,
    onSent,
    onReply: (durationMs) => usageReporter.noteReply(durationMs),
    onVersion: (address, version) => configuration.noteVersion(address, version),
  });
  const directory = new OwnerDirectory(zone, createEntry, Math.random, settings().linkMbps);
  directory.put(record());

  const reads = createPooledPeerClient(sender, onSent);
  const relay = createRelayPart({ ...context, usageReporter, directory, reads, record });
  platform.store.onEra = relay.noteEra;

  const caller = new PeerClient(sender, report, onSent);
  const broadcast = createAnnouncementBroadcast({ directory, caller, own: record });
  const sync = new DirectorySync({
    clock,
    store: relay.store,
    directory,
    caller,
    own: record,
    marksDeparture: () => quotas.isUsed,
    timing: {
      waitMs: DIRECTORY_WAIT_MS,
      debounceMs: () => (relay.store.isFollowing ? 0 : DIRECTORY_DEBOUNCE_MS),
    },
    onConnected: onStoreConnection('directory'),
    onOwnerChange: (name, change, detail) => log.event('owner', { owner: name, change, detail }),
    onLeft: (name) => quotas.noteLeft(name),
    onReport: (address, peerReport) => configuration.noteVersion(address, peerReport.version),
    onUnreadable: (name) => noteUnreadable(UnreadableEntryKind.OwnerRecord, name, 'not readable'),
  });

  const quarantines = createQuarantineSync({
    clock,
    store: relay.store,
    ledger: crashTracker,
    directory,
    broadcast,
    own: record,
    timing: { waitMs: DIRECTORY_WAIT_MS, debounceMs: () => 0 },
    onConnected: onStoreConnection('quarantines'),
    onQuarantineChange: ({ fingerprint, caller: from }, change, origin, crashes) =>
      log.event('quarantine', { fingerprint, caller: from, change, origin, crashes }),
    onUnreadable: (name, origin) =>
      noteUnreadable(UnreadableEntryKind.CrashRecord, name, `not readable, from ${origin}`),
  });

  const nodes = () => (sync.isSynced ? directory.size : Number.POSITIVE_INFINITY);
  const rollouts = createRolloutParts({
    ...context,
    relay,
    directory,
    broadcast,
    caller,
    owner,
    record,
    nodes,
    onConnected: onStoreConnection('rollouts'),
  });

  const configuration = createConfigurationPart({
    ...context,
    relay,
    directory,
    caller,
    onConnected: onStoreConnection('configuration'),
  });

  const quotas = createQuotaPart({
    settings,
    clock,
    directory,
    reads,
    routes: () => configuration.routes,
    isDirectorySynced: () => sync.isSynced,
  });

  const tenantUse = createTenantUsageCounter(clock);

  const ingress = createIngressPart({
    ...context,
    timers,
    directory,
    callRoutes: createCallRoutes(),
    callRates,
    crashTracker,
    versionSelector: rollouts?.versionSelector,
    configuration,
    nodes,
    ownRecord: record,
    quotaGate: quotas.gate,
    onFinished: (request) => recordRequest({ log, metrics, tenantUse }, request),
  });

  const peers = new PeerServer({
    clock,
    timers,
    owner,
    report,
    connectionOptions: { onSent, window: sendWindowOf(settings().linkMbps) },
    configuration: () => configuration.bytes(),
    directory: () => sync.bytes(),
    tenantUse: tenantUse.serialize,
    readStore: (query) => relay.answer(query),
    grantQuota: quotas.grant,
    onAnnouncement: broadcast.receive,
    onPeerContact: (peer, peerReport) => {
      sync.notePeer(peer, peerReport);
      configuration.noteVersion(peer.address, peer.version);
    },
  });

  const onBackEnd = (backEnd: BackEnd | undefined, cause: string): void => {
    const { ready, slots } = owner.report;
    log.event('back-end', {
      instance: backEnd?.instance,
      bornAt: backEnd?.bornAt,
      version: backEnd?.version,
      service: backEnd?.service,
      state: backEnd?.state,
      cause,
      slots,
    });
    const entry = directory.all().find(({ isLocal }) => isLocal);
    if (ready) {
      entry?.noteReport(report(), clock.now());
      sync.announceReady();
    } else {
      entry?.markAbsent('no-back-end', clock.now());
    }
  };

  return {
    owner,
    directory,
    sync,
    quarantines,
    rollouts,
    crashTracker,
    configuration,
    ingress,
    peers,
    reads,
    relay,
    usageReporter,
    noteUnreadable,
    quotas,
    record,
  };
}
