/** A node beside one back end: start, status, reload of settings, and stop. */

import type { DecisionLog } from '../diagnostics/decision-log.js';
import type { SidecarGauges, SidecarMetrics } from '../diagnostics/sidecar-metrics.js';
import type { Clock } from '../model/clock.js';
import { endpointOf } from '../model/endpoint.js';
import type { NodeClocks } from '../model/nodeClocks.js';
import type { OwnerReport } from '../owner/owner-report.js';
import type { RouteMatcher } from '../routing/route-matcher.js';
import {
  createMetricsHandler,
  createReadinessHandler,
  createRegistrationHandler,
} from './auxiliaryHandlers.js';
import { type AuxiliaryHandler, AuxiliaryServer } from './auxiliaryServer.js';
import { shutDownGracefully } from './gracefulShutdown.js';
import { createLifecycle, type Lifecycle, LifecycleEvent, LifecycleState } from './lifecycle.js';
import type { PlatformAdapter } from './platformAdapter.js';
import type { SidecarSettings } from './sidecar-settings.js';
import { createSidecarParts, type SidecarParts } from './sidecarParts.js';

/**
 * Longest time in milliseconds that the first read of the configuration waits for the directory. A
 * node that has read the directory can ask its zone's reader for the configuration.
 */
const MAX_WAIT_FOR_DIRECTORY_MS = 300;

/** Interval between two checks whether the directory has been read, in milliseconds. */
const DIRECTORY_POLL_MS = 10;

/** Longest time for removing the node's own record during a stop, in milliseconds. */
const REMOVE_TIMEOUT_MS = 100;

const MILLISECONDS_PER_SECOND = 1_000;

/** State of a node at one moment. */
export interface SidecarStatus {
  readonly version: number;
  readonly backEndReady: boolean;
  readonly owner: OwnerReport;
  /** Client requests without a final answer. */
  readonly inFlight: number;
  readonly ownersPresent: number;
  readonly ownersAbsent: number;
  readonly storeConnected: boolean;
}

/** One per process. */
export class SidecarNode {
  private readonly parts: SidecarParts;
  private readonly readiness: AuxiliaryServer;
  private readonly registrations: AuxiliaryServer;
  private readonly metricsServer: AuxiliaryServer;
  private readonly lifecycle: Lifecycle;
  private readonly clock: Clock;
  /** Steady time in milliseconds at which the configuration came into force. */
  private inForceSince = 0;

  constructor(
    private settings: SidecarSettings,
    private readonly platform: PlatformAdapter,
    clocks: NodeClocks,
    private readonly log: DecisionLog,
    metrics: SidecarMetrics,
  ) {
    this.clock = clocks.clock;
    clocks.onResume((suspendedMs) => log.event('woken', { sleptMs: Math.round(suspendedMs) }));
    this.parts = createSidecarParts({
      settings: () => this.settings,
      platform,
      clocks,
      log,
      metrics,
      onApplied: (routes, origin) => {
        metrics.noteTenants(routes.configuration.tenants);
        this.onApplied(routes, origin);
      },
    });
    this.lifecycle = createLifecycle((state) => {
      log.event('lifecycle', { state, inFlight: this.parts.ingress.inFlight });
    });
    const serve = (handler: AuxiliaryHandler) =>
      new AuxiliaryServer(handler, (path, error) =>
        log.event('unexpected', { path, error: String(error) }),
      );
    this.metricsServer = serve(
      createMetricsHandler(metrics, () => this.gauges(), this.parts.usageReporter.totals),
    );
    this.readiness = serve(createReadinessHandler(platform, () => this.isReady));
    this.registrations = serve(
      createRegistrationHandler(platform, this.parts.owner, this.parts.noteUnreadable),
    );
  }

  /** Current state, for metrics and tests. */
  get status(): SidecarStatus {
    const { directory, configuration, owner, ingress } = this.parts;
    const owners = directory.all();
    return {
      version: configuration.version,
      backEndReady: owner.report.ready,
      owner: owner.report,
      inFlight: ingress.inFlight,
      ownersPresent: owners.filter((entry) => !entry.absenceReason).length,
      ownersAbsent: owners.filter((entry) => entry.absenceReason).length,
      storeConnected: configuration.isConnected,
    };
  }

  /** Addresses in use, with the ports that the kernel chose. */
  get addresses(): SidecarSettings['listen'] {
    return this.settings.listen;
  }

  /** Opens all ports and starts watching the store. */
  async start(): Promise<void> {
    const { owner, directory, sync, quarantines, ingress, peers: peerServer, record } = this.parts;
    const { listen } = this.settings;
    const [peers, registrations, readiness, clients] = await Promise.all([
      listenAt(peerServer, listen.peers),
      listenAt(this.registrations, listen.registrations),
      listenAt(this.readiness, listen.readiness),
      listenAt(ingress, listen.clients),
    ]);
    const metrics = listen.metrics && (await listenAt(this.metricsServer, listen.metrics));
    this.settings = {
      ...this.settings,
      listen: { peers, registrations, readiness, clients, metrics },
    };
    directory.put(record());
    this.lifecycle.send(LifecycleEvent.Listening);
    sync.start();
    quarantines.start();
    this.parts.rollouts?.sync.start();
    this.parts.quotas.start();
    this.startConfiguration();
    owner.start();
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

  /** Applies settings that have changed while the node runs, except addresses to listen at. */
  reload(settings: SidecarSettings): void {
    this.settings = { ...settings, listen: this.settings.listen };
    this.log.event('reloaded', { service: settings.service });
    void this.parts.sync.publish();
  }

  /** Planned stop; see {@link shutDownGracefully}. */
  async stop(): Promise<void> {
    this.lifecycle.send(LifecycleEvent.Stop);
    const { clock, lifecycle, log } = this;
    const { ingress, owner, peers, sync, configuration } = this.parts;
    const { graceMs } = this.settings;
    log.event('stopping', { inFlight: ingress.inFlight, version: configuration.version });
    await shutDownGracefully({ clock, ingress, owner, peers, graceMs, lifecycle });
    await Promise.race([
      sync.stop(owner.isDraining),
      new Promise((resolve) => setTimeout(resolve, REMOVE_TIMEOUT_MS)),
    ]);
    log.event('stopped', { inFlight: ingress.inFlight });
    this.close();
  }

  /** Closes everything immediately. */
  close(): void {
    const { owner, directory, sync, configuration, ingress, peers, reads, relay, usageReporter } =
      this.parts;
    usageReporter.stop();
    this.parts.quarantines.stop();
    this.parts.rollouts?.sync.stop();
    this.parts.quotas.stop();
    owner.close();
    ingress.close();
    peers.close();
    this.readiness.close();
    this.metricsServer.close();
    this.registrations.close();
    for (const entry of directory.all()) {
      entry.close();
    }
    reads.closeIdle();
    relay.stop();
    configuration.stop();
    void sync.stop(false);
    this.platform.store.close();
  }

  /** Starts reading the configuration; see {@link MAX_WAIT_FOR_DIRECTORY_MS}. */
  private startConfiguration(): void {
    const { sync, configuration } = this.parts;
    const startedAt = this.clock.now();
    const timer = setInterval(() => {
      const waitedMs = this.clock.now() - startedAt;
      const isStopping = this.lifecycle.state !== LifecycleState.Serving;
      if (sync.isSynced || waitedMs >= MAX_WAIT_FOR_DIRECTORY_MS || isStopping) {
        clearInterval(timer);
        configuration.start();
      }
    }, DIRECTORY_POLL_MS);
  }

  private onApplied(routes: RouteMatcher, origin: string): void {
    const { version, configuration } = routes;
    const { ingress, owner } = this.parts;
    this.inForceSince = this.clock.now();
    ingress.setLimits(configuration.limits);
    owner.noteConfiguration();
    this.parts.quotas.refresh();
    this.log.event('configuration', { version, origin, routes: configuration.routes.length });
  }

  private gauges(): SidecarGauges {
    const { version, owner, inFlight, ownersPresent, ownersAbsent, storeConnected } = this.status;
    const { rollouts } = this.parts;
    const rolloutTotals = rollouts?.versionSelector.totals;
    return {
      requests_in_flight: inFlight,
      owner_running: owner.inFlight,
      owner_queued: owner.queued,
      owner_slots: owner.slots,
      owner_ready: Number(owner.ready),
      owner_failure_share: owner.failureShare,
      owner_back_end_slowness: owner.slowness,
      owner_back_end_waiting: owner.waiting,
      owner_limit_per_second: owner.limitPerS ?? Number.POSITIVE_INFINITY,
      owners_present: ownersPresent,
      owners_absent: ownersAbsent,
      quarantined_requests: this.parts.crashTracker.quarantined(this.clock.now()).length,
      rollouts_running: rollouts?.sync.rollouts.runningServices.length ?? 0,
      rollout_requests: rolloutTotals?.requests ?? 0,
      rollout_offers: rolloutTotals?.offers ?? 0,
      rollout_bad_answers: rolloutTotals?.bad ?? 0,
      configuration_version: version,
      configuration_age_seconds: (this.clock.now() - this.inForceSince) / MILLISECONDS_PER_SECOND,
      store_connected: Number(storeConnected),
      store_era: this.parts.relay.era,
      log_lines_dropped: this.log.dropped,
    };
  }

  private get isReady(): boolean {
    const { sync, configuration } = this.parts;
    const isServing = this.lifecycle.state === LifecycleState.Serving;
    return isServing && configuration.routes !== undefined && sync.isSynced;
  }
}

/** Listens at an address and resolves with the one in use; for port 0 the kernel chooses a port. */
async function listenAt(
  server: { listen(host: string, port: number): Promise<number> },
  address: string,
): Promise<string> {
  const { host, port } = endpointOf(address);
  return `${host}:${await server.listen(host, port)}`;
}
