/** The parts of a sidecar, put together: to be read from top to bottom. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import { type LoadLine, startLoadLine } from '../diagnostics/loadLine.js';
import type { SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import { DirectorySync, NODE_KIND } from '../directory/directory-sync.js';
import { OwnerDirectory } from '../directory/owner-directory.js';
import { OwnerEntry, type OwnerRecord } from '../directory/owner-entry.js';
import { createQuarantineSync, type QuarantineSync } from '../directory/quarantineSync.js';
import { createSpillAllowance } from '../directory/spillAllowance.js';
import { IngressServer } from '../ingress/ingress-server.js';
import { createOfferLimit } from '../ingress/offerLimit.js';
import { createReturnTimes } from '../ingress/returnTimes.js';
import { SharedRetryBudget } from '../ingress/shared-retry-budget.js';
import { createAlarms } from '../model/alarms.js';
import type { NodeClocks } from '../model/nodeClocks.js';
import { LocalOwner } from '../owner/local-owner.js';
import { bulkWindowOf } from '../peer/bodySender.js';
import { PeerCaller } from '../peer/peerCaller.js';
import { MessageKind, type PeerReport, type PeerSender } from '../peer/peerMessages.js';
import { createPeerReads, type PeerReads } from '../peer/peerReads.js';
import { PeerServer } from '../peer/peerServer.js';
import { RemoteOwner } from '../peer/remoteOwner.js';
import { type CrashLedger, createCrashLedger } from '../quarantine/crashLedger.js';
import type { BackEnd } from '../registry/back-end-registry.js';
import { createZoneRelay, type ZoneRelay } from '../relay/zoneRelay.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { ConfigurationFollower } from '../source/configuration-follower.js';
import { ObservedStore } from '../source/observed-store.js';
import { createSupplier } from '../source/supplier.js';
import { recordNews, recordRequest, recordTask } from './decisionRecords.js';
import type { Outside } from './outside.js';
import type { SidecarSettings } from './sidecar-settings.js';
import { createZoneMembership } from './zoneMembership.js';

/** The directory's watch: its longest wait, and what comes within so long is taken together. */
const DIRECTORY_WAIT_MS = 15_000;
const DIRECTORY_SETTLE_MS = 500;

/** A configuration is asked of another node for at the most this long, in milliseconds. */
const PEER_CONFIGURATION_TIMEOUT_MS = 1_000;

/** What the parts are given. */
export interface SidecarPartsContext {
  /** In force now: they may be reloaded. */
  readonly settings: () => SidecarSettings;
  readonly outside: Outside;
  readonly clocks: NodeClocks;
  readonly log: DecisionLog;
  readonly metrics: SidecarMetrics;
  /** A configuration has come into force. */
  readonly onInForce: (routes: RouteMatcher, origin: string) => void;
}

export interface SidecarParts {
  readonly owner: LocalOwner;
  readonly directory: OwnerDirectory;
  readonly sync: DirectorySync;
  readonly quarantines: QuarantineSync;
  readonly ledger: CrashLedger;
  readonly configuration: ConfigurationFollower;
  readonly ingress: IngressServer;
  readonly peers: PeerServer;
  readonly reads: PeerReads;
  readonly relay: ZoneRelay;
  readonly load: LoadLine;
  /** This node's own record, as the other nodes get it. */
  readonly record: () => OwnerRecord;
}

export function createSidecarParts(context: SidecarPartsContext): SidecarParts {
  const { settings, outside, clocks, log, metrics, onInForce } = context;
  const { clock, beliefClock } = clocks;
  const alarms = createAlarms(clocks);
  const { names } = outside;
  const { node, zone, configurationApplyMs } = settings();

  const load = startLoadLine(log);
  const onSent = (kind: MessageKind, bytes: number) => {
    load.noteSent(MessageKind[kind], bytes);
  };

  outside.store.onReceived = (kind, bytes) => {
    load.noteReceived(kind, bytes);
  };

  const record = () => recordOf(settings());
  const sender = (): PeerSender => ({
    address: settings().listen.peers,
    version: configuration.version,
  });
  const report = (): PeerReport => ({ ...owner.report, version: configuration.version });
  const onStore = (use: string) => (connected: boolean, detail: string, cause?: string) =>
    log.event('store', { use, connected, detail, cause, version: configuration.version });

  const ledger = createCrashLedger();
  const owner = new LocalOwner({
    clock,
    beliefClock,
    alarms,
    ledger,
    onNews: (news) => {
      recordNews({ log, metrics }, news);
      quarantines.tell(news);
    },
    names,
    service: () => settings().service,
    backEndAddress: () => settings().backEndAddress,
    healthPath: (service) => configuration.routes?.service(service)?.healthPath,
    drainMs: () => settings().drainMs,
    onBackEnd: (backEnd, cause) => onBackEnd(backEnd, cause),
    onTask: (task) => recordTask({ log, metrics }, task, owner.report),
  });

  const entryOf = (known: OwnerRecord): OwnerEntry => {
    if (known.node === node) {
      return new OwnerEntry(known, owner, report);
    }
    const remote = new RemoteOwner(known.address, {
      clock,
      sender,
      traits: { onSent, window: bulkWindowOf(settings().linkMbps, known.linkMbps) },
      onReply: (tookMs) => load.noteReply(tookMs),
      onReport: (told) => {
        entry.noteReport(told, clock.now());
        configuration.noteVersion(known.address, told.version);
      },
      onFailure: (cause) => {
        if (!entry.absence) {
          log.event('owner', { owner: known.node, change: 'absent', detail: cause });
        }
        entry.makeAbsent('silent', clock.now());
      },
    });
    const entry = new OwnerEntry(known, remote);
    return entry;
  };
  const directory = new OwnerDirectory(zone, entryOf, Math.random, settings().linkMbps);
  directory.put(record());

  const reads = createPeerReads(sender, onSent);
  const relay = createZoneRelay({
    clock: beliefClock,
    store: new ObservedStore(
      outside.store,
      () => clock.now(),
      (operation, result) => metrics.storeCalled(operation, result),
    ),
    record: { kind: NODE_KIND, name: node },
    hurriedKind: outside.configurationKind,
    applyMs: configurationApplyMs,
    zonePart: createZoneMembership({ clock, directory, own: record }),
    readPeer: (address, question, timeoutMs) => reads.read(address, question, timeoutMs),
    onReader: (reader, cause) => log.event('zone-reader', { reader, cause }),
    onReach: (isReached, detail) => log.event('store-reach', { isReached, detail }),
    onUntold: (kind, revision) => log.event('watch-silent', { kind, revision }),
    onAnswer: (kind, bytes) => {
      load.noteRelayed(kind, bytes);
    },
  });

  const caller = new PeerCaller(sender, report, onSent);
  const sync = new DirectorySync({
    clock,
    store: relay.store,
    directory,
    caller,
    own: record,
    timing: {
      waitMs: DIRECTORY_WAIT_MS,
      settleMs: () => (relay.store.isFollowing ? 0 : DIRECTORY_SETTLE_MS),
    },
    onConnected: onStore('directory'),
    onOwner: (name, change, detail) => log.event('owner', { owner: name, change, detail }),
    onReport: (address, told) => configuration.noteVersion(address, told.version),
  });

  const quarantines = createQuarantineSync({
    clock,
    store: relay.store,
    ledger,
    directory,
    caller,
    own: record,
    timing: { waitMs: DIRECTORY_WAIT_MS, settleMs: () => 0 },
    onConnected: onStore('quarantines'),
    onQuarantine: ({ fingerprint, caller: from }, change, origin, crashes) =>
      log.event('quarantine', { fingerprint, caller: from, change, origin, crashes }),
  });

  const configuration = new ConfigurationFollower({
    clock: beliefClock,
    store: relay.store,
    provenAt: () => relay.store.answeredAt,
    kind: outside.configurationKind,
    name: outside.configurationName,
    applyMs: configurationApplyMs,
    settleMs: () => relay.settleMs(),
    decode: outside.decodeConfiguration,
    decodeBytes: outside.decodeConfigurationBytes,
    askPeer: (address) => caller.configuration(address, PEER_CONFIGURATION_TIMEOUT_MS),
    onConnected: onStore('configuration'),
    onInForce,
    onHeldOff: (version, origin, findings) =>
      log.event('configuration-held-off', { version, origin, findings }),
    onShort: (version, shortage) => log.event('configuration-waits', { version, ...shortage }),
    onUnreadable: (revision) => log.event('configuration-unreadable', { revision }),
    supplier: createSupplier({
      store: relay.store,
      loadPolicyCompiler: outside.loadPolicyCompiler,
    }),
  });

  const ingress = new IngressServer({
    clock,
    alarms,
    names,
    directory,
    budget: new SharedRetryBudget(
      () => settings().retryBudget,
      () => (sync.isListed ? directory.size : Number.POSITIVE_INFINITY),
    ),
    spill: createSpillAllowance(),
    returns: createReturnTimes(),
    offerLimit: createOfferLimit(),
    ledger,
    routes: () => configuration.routes,
    mayBeBehind: () => configuration.mayBeBehind,
    callerService: () => settings().service,
    own: record,
    onFinished: (request) => recordRequest({ log, metrics }, request),
  });

  const peers = new PeerServer({
    clock,
    owner,
    report,
    traits: { onSent, window: bulkWindowOf(settings().linkMbps) },
    configuration: () => configuration.bytes(),
    directory: () => sync.bytes(),
    read: (question) => relay.answer(question),
    onCrash: ({ news, passesOn, sender: from }) => quarantines.take(news, passesOn, from.address),
    onPeer: (from, told) => {
      sync.notePeer(from, told);
      configuration.noteVersion(from.address, from.version);
    },
  });

  const onBackEnd = (backEnd: BackEnd | undefined, cause: string): void => {
    const { ready, slots } = owner.report;
    log.event('back-end', {
      instance: backEnd?.instance,
      service: backEnd?.service,
      state: backEnd?.state,
      cause,
      slots,
    });
    const entry = directory.all().find(({ isLocal }) => isLocal);
    if (ready) {
      entry?.noteReport(report(), clock.now());
      sync.announce();
    } else {
      entry?.makeAbsent('no-back-end', clock.now());
    }
  };

  return {
    owner,
    directory,
    sync,
    quarantines,
    ledger,
    configuration,
    ingress,
    peers,
    reads,
    relay,
    load,
    record,
  };
}

function recordOf(settings: SidecarSettings): OwnerRecord {
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
