/** A node beside one back end: ingress, owner, directory, configuration and lifecycle together. */
import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarGauges, SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import { DirectorySync, NODE_KIND } from '../directory/directory-sync.js';
import { OwnerDirectory } from '../directory/owner-directory.js';
import { OwnerEntry, type OwnerRecord } from '../directory/owner-entry.js';
import { createSpillAllowance } from '../directory/spillAllowance.js';
import { IngressServer } from '../ingress/ingress-server.js';
import { createReturnTimes } from '../ingress/returnTimes.js';
import { SharedRetryBudget } from '../ingress/shared-retry-budget.js';
import type { Clock } from '../model/clock.js';
import { LocalOwner } from '../owner/local-owner.js';
import type { OwnerReport } from '../owner/owner-report.js';
import { PeerCaller } from '../peer/peerCaller.js';
import type { PeerReport, PeerSender } from '../peer/peerMessages.js';
import { createPeerReads, type PeerReads } from '../peer/peerReads.js';
import { PeerServer } from '../peer/peerServer.js';
import { RemoteOwner } from '../peer/remoteOwner.js';
import type { BackEnd } from '../registry/back-end-registry.js';
import type { ZonePart } from '../relay/zoneReaders.js';
import { createZoneRelay, type ZoneRelay } from '../relay/zoneRelay.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import { ConfigurationFollower } from '../source/configuration-follower.js';
import { ObservedStore } from '../source/observed-store.js';
import { createSupplier } from '../source/supplier.js';
import { recordRequest, recordTask } from './decisionRecords.js';
import { createLifecycle, type Lifecycle, LifecycleEvent, LifecycleState } from './lifecycle.js';
import type { Outside } from './outside.js';
import { finishWork } from './planned-stop.js';
import type { SidecarSettings } from './sidecar-settings.js';
import { metricsHandler, readinessHandler, registrationHandler } from './sidecarCalls.js';
import { type SmallHandler, SmallServer } from './small-server.js';
import { createZoneMembership } from './zoneMembership.js';

/** The directory's watch: its longest wait, and what comes within so long is taken together. */
const DIRECTORY_WAIT_MS = 15_000;
const DIRECTORY_SETTLE_MS = 500;

/** The configuration is read this long after the directory at the latest, in milliseconds. */
const DIRECTORY_HEAD_START_MS = 300;

/** Pause between two looks whether the directory is there, in milliseconds. */
const HEAD_START_TICK_MS = 10;

/** A configuration is asked of another node for at the most this long, in milliseconds. */
const PEER_CONFIGURATION_TIMEOUT_MS = 1_000;

/** While stopping: longest time for removing the own record, in milliseconds. */
const REMOVE_TIMEOUT_MS = 100;

const MILLISECONDS_PER_SECOND = 1_000;

/** What a node believes at one moment. */
export interface SidecarStatus {
  readonly version: number;
  readonly backEndReady: boolean;
  readonly owner: OwnerReport;
  /** Requests of clients without a final answer. */
  readonly inFlight: number;
  readonly ownersPresent: number;
  readonly ownersAbsent: number;
  readonly storeConnected: boolean;
}

/** One per process. */
export class SidecarNode {
  private readonly owner: LocalOwner;
  private readonly directory: OwnerDirectory;
  private readonly sync: DirectorySync;
  private readonly configuration: ConfigurationFollower;
  private readonly ingress: IngressServer;
  private readonly peers: PeerServer;
  private readonly readiness: SmallServer;
  private readonly registrations: SmallServer;
  private readonly caller: PeerCaller;
  private readonly reads: PeerReads;
  private readonly relay: ZoneRelay;
  private readonly zonePart: () => ZonePart;
  private readonly metricsServer: SmallServer;
  private readonly lifecycle: Lifecycle;
  /** Steady time in milliseconds since which the configuration is in force. */
  private inForceSince = 0;

  constructor(
    private settings: SidecarSettings,
    private readonly outside: Outside,
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly metrics: SidecarMetrics,
  ) {
    const { names } = outside;
    this.lifecycle = createLifecycle((state) => {
      this.log.event('lifecycle', { state, inFlight: this.ingress.inFlight });
    });
    const store = new ObservedStore(
      outside.store,
      () => clock.now(),
      (operation, result) => metrics.storeCalled(operation, result),
    );
    this.reads = createPeerReads(() => this.sender());
    this.relay = createZoneRelay({
      clock,
      store,
      record: { kind: NODE_KIND, name: settings.node },
      applyMs: settings.configurationApplyMs,
      zonePart: () => this.zonePart(),
      readPeer: (address, question, timeoutMs) => this.reads.read(address, question, timeoutMs),
      onReader: (reader, cause) => this.log.event('zone-reader', { reader, cause }),
    });
    this.owner = new LocalOwner({
      clock,
      names,
      service: () => this.settings.service,
      backEndAddress: () => this.settings.backEndAddress,
      healthPath: (service) => this.configuration.routes?.service(service)?.healthPath,
      drainMs: () => this.settings.drainMs,
      onBackEnd: (backEnd, cause) => this.onBackEnd(backEnd, cause),
      onTask: (record) => recordTask({ log, metrics }, record, this.owner.report),
    });
    this.caller = new PeerCaller(
      () => this.sender(),
      () => this.report(),
    );
    this.directory = new OwnerDirectory(settings.zone, (record) => this.entryOf(record));
    this.directory.put(this.record());
    this.zonePart = createZoneMembership({
      clock,
      directory: this.directory,
      own: () => this.record(),
    });
    this.sync = new DirectorySync({
      clock,
      store: this.relay.store,
      directory: this.directory,
      caller: this.caller,
      own: () => this.record(),
      timing: {
        waitMs: DIRECTORY_WAIT_MS,
        settleMs: () => (this.relay.store.isFollowing ? 0 : DIRECTORY_SETTLE_MS),
      },
      onConnected: (connected, detail) => this.onStore('directory', connected, detail),
      onOwner: (node, change, detail) => this.log.event('owner', { owner: node, change, detail }),
      onReport: (address, report) => this.configuration.noteVersion(address, report.version),
    });
    this.configuration = new ConfigurationFollower({
      store: this.relay.store,
      kind: outside.configurationKind,
      name: outside.configurationName,
      applyMs: settings.configurationApplyMs,
      settleMs: () => this.relay.settleMs(),
      decode: outside.decodeConfiguration,
      decodeBytes: outside.decodeConfigurationBytes,
      askPeer: (address) => this.caller.configuration(address, PEER_CONFIGURATION_TIMEOUT_MS),
      onConnected: (connected, detail) => this.onStore('configuration', connected, detail),
      onInForce: (routes, origin) => this.onConfiguration(routes, origin),
      onHeldOff: (version, origin, findings) =>
        this.log.event('configuration-held-off', { version, origin, findings }),
      onShort: (version, shortage) =>
        this.log.event('configuration-waits', { version, ...shortage }),
      onUnreadable: (revision) => this.log.event('configuration-unreadable', { revision }),
      supplier: createSupplier({
        store: this.relay.store,
        loadPolicyCompiler: outside.loadPolicyCompiler,
      }),
    });
    this.ingress = new IngressServer({
      clock,
      names,
      directory: this.directory,
      budget: new SharedRetryBudget(
        () => this.settings.retryBudget,
        () => (this.sync.isListed ? this.directory.size : Number.POSITIVE_INFINITY),
      ),
      spill: createSpillAllowance(),
      returns: createReturnTimes(),
      routes: () => this.configuration.routes,
      callerService: () => this.settings.service,
      own: () => this.record(),
      onFinished: (record) => recordRequest({ log, metrics }, record),
    });
    this.peers = new PeerServer({
      clock,
      owner: this.owner,
      report: () => this.report(),
      configuration: () => this.configuration.bytes(),
      directory: () => this.sync.bytes(),
      read: (question) => this.relay.answer(question),
      onPeer: (sender, report) => this.onPeer(sender, report),
    });
    const serve = (handler: SmallHandler) =>
      new SmallServer(handler, (path, error) =>
        log.event('unexpected', { path, error: String(error) }),
      );
    this.metricsServer = serve(metricsHandler(metrics, () => this.gauges()));
    this.readiness = serve(readinessHandler(outside, () => this.isReady));
    this.registrations = serve(registrationHandler(outside, this.owner, log));
  }

  /** What the node believes now, for metrics and tests. */
  get status(): SidecarStatus {
    const owners = this.directory.all();
    return {
      version: this.configuration.version,
      backEndReady: this.owner.report.ready,
      owner: this.owner.report,
      inFlight: this.ingress.inFlight,
      ownersPresent: owners.filter((entry) => !entry.absence).length,
      ownersAbsent: owners.filter((entry) => entry.absence).length,
      storeConnected: this.configuration.isConnected,
    };
  }

  /** Addresses in use. */
  get addresses(): SidecarSettings['listen'] {
    return this.settings.listen;
  }

  /** Opens every port and begins to follow the store. */
  async start(): Promise<void> {
    const { listen } = this.settings;
    const [peers, registrations, readiness, clients] = await Promise.all([
      listenAt(this.peers, listen.peers),
      listenAt(this.registrations, listen.registrations),
      listenAt(this.readiness, listen.readiness),
      listenAt(this.ingress, listen.clients),
    ]);
    const metrics = listen.metrics && (await listenAt(this.metricsServer, listen.metrics));
    this.settings = {
      ...this.settings,
      listen: { peers, registrations, readiness, clients, metrics },
    };
    this.directory.put(this.record());
    this.lifecycle.send(LifecycleEvent.Listening);
    this.sync.start();
    this.startConfiguration();
    this.owner.start();
    const { zone, service, drainMs, graceMs, configurationApplyMs } = this.settings;
    this.log.event('started', {
      zone,
      service,
      drainMs,
      graceMs,
      configurationApplyMs,
      startupMs: Math.round(this.clock.now()),
    });
  }

  /** Takes settings that have changed while the node runs; addresses stay. */
  reload(settings: SidecarSettings): void {
    this.settings = { ...settings, listen: this.settings.listen };
    this.log.event('reloaded', { service: settings.service });
    void this.sync.publish();
  }

  /** Planned stop; see `finishWork`. */
  async stop(): Promise<void> {
    this.lifecycle.send(LifecycleEvent.Stop);
    const { clock, ingress, owner, lifecycle } = this;
    this.log.event('stopping', { inFlight: ingress.inFlight, version: this.configuration.version });
    const { graceMs } = this.settings;
    await finishWork({ clock, ingress, owner, graceMs, lifecycle });
    await Promise.race([
      this.sync.stop(owner.isLeaving),
      new Promise((resolve) => setTimeout(resolve, REMOVE_TIMEOUT_MS)),
    ]);
    this.log.event('stopped', { inFlight: ingress.inFlight });
    this.close();
  }

  /** Closes everything at once. */
  close(): void {
    this.owner.close();
    this.ingress.close();
    this.peers.close();
    this.readiness.close();
    this.metricsServer.close();
    this.registrations.close();
    for (const entry of this.directory.all()) {
      entry.close();
    }
    this.reads.close();
    this.relay.stop();
    this.configuration.stop();
    void this.sync.stop(false);
    this.outside.store.close();
  }

  /** A node that knows its zone can ask its reader: the directory's first list goes first. */
  private startConfiguration(): void {
    const startedAt = this.clock.now();
    const timer = setInterval(() => {
      const waitedMs = this.clock.now() - startedAt;
      const isStopping = this.lifecycle.state !== LifecycleState.Serving;
      if (this.sync.isListed || waitedMs >= DIRECTORY_HEAD_START_MS || isStopping) {
        clearInterval(timer);
        this.configuration.start();
      }
    }, HEAD_START_TICK_MS);
  }

  private record(): OwnerRecord {
    const { node, zone, service, listen, region, labels } = this.settings;
    return {
      node,
      address: listen.peers,
      zone,
      service,
      ...(region === undefined ? {} : { region }),
      ...(labels === undefined ? {} : { labels }),
    };
  }

  private entryOf(record: OwnerRecord): OwnerEntry {
    if (record.node === this.settings.node) {
      return new OwnerEntry(record, this.owner, () => this.report());
    }
    const remote = new RemoteOwner(record.address, {
      clock: this.clock,
      sender: () => this.sender(),
      onReport: (report) => {
        entry.noteReport(report, this.clock.now());
        this.configuration.noteVersion(record.address, report.version);
      },
      onFailure: (cause) => {
        if (!entry.absence) {
          this.log.event('owner', { owner: record.node, change: 'absent', detail: cause });
        }
        entry.makeAbsent('silent', this.clock.now());
      },
    });
    const entry = new OwnerEntry(record, remote);
    return entry;
  }

  private sender(): PeerSender {
    return { address: this.settings.listen.peers, version: this.configuration.version };
  }

  private report(): PeerReport {
    return { ...this.owner.report, version: this.configuration.version };
  }

  private onPeer(sender: PeerSender, report: PeerReport | undefined): void {
    this.sync.notePeer(sender, report);
    this.configuration.noteVersion(sender.address, sender.version);
  }

  private onConfiguration(routes: RouteMatcher, origin: string): void {
    const { version, configuration } = routes;
    this.inForceSince = this.clock.now();
    this.ingress.setLimits(configuration.limits);
    this.owner.noteConfiguration();
    this.log.event('configuration', { version, origin, routes: configuration.routes.length });
  }

  private onBackEnd(backEnd: BackEnd | undefined, cause: string): void {
    const { ready, slots } = this.owner.report;
    this.log.event('back-end', {
      instance: backEnd?.instance,
      service: backEnd?.service,
      state: backEnd?.state,
      cause,
      slots,
    });
    const entry = this.directory.all().find((candidate) => candidate.isLocal);
    if (ready) {
      entry?.noteReport(this.report(), this.clock.now());
      this.sync.announce();
    } else {
      entry?.makeAbsent('no-back-end', this.clock.now());
    }
  }

  private onStore(use: string, connected: boolean, detail: string): void {
    this.log.event('store', { use, connected, detail, version: this.configuration.version });
  }

  private gauges(): SidecarGauges {
    const { version, owner, inFlight, ownersPresent, ownersAbsent, storeConnected } = this.status;
    return {
      requests_in_flight: inFlight,
      owner_running: owner.inFlight,
      owner_queued: owner.queued,
      owner_slots: owner.slots,
      owner_ready: Number(owner.ready),
      owner_failure_share: owner.failureShare,
      owners_present: ownersPresent,
      owners_absent: ownersAbsent,
      configuration_version: version,
      configuration_age_seconds: (this.clock.now() - this.inForceSince) / MILLISECONDS_PER_SECOND,
      store_connected: Number(storeConnected),
      log_lines_dropped: this.log.dropped,
    };
  }

  private get isReady(): boolean {
    const isServing = this.lifecycle.state === LifecycleState.Serving;
    return isServing && this.configuration.routes !== undefined && this.sync.isListed;
  }
}

/** Listens at an address and resolves with the one in use: port 0 lets the kernel choose. */
async function listenAt(
  server: { listen(host: string, port: number): Promise<number> },
  address: string,
): Promise<string> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = await server.listen(host, Number(address.slice(separator + 1)));
  return `${host}:${port}`;
}
