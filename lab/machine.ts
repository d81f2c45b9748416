/** One machine of a test mesh: its sidecar, its back end and its way to the store, in this process. */
import { DecisionLog } from '../src/diagnostics/decision-log.js';
import { SidecarMetrics } from '../src/diagnostics/sidecar-metrics.js';
import {
  type ClockSources,
  createNodeClocks,
  SYSTEM_CLOCK_SOURCES,
} from '../src/model/nodeClocks.js';
import { SidecarNode } from '../src/sidecar/sidecar-node.js';
import { checkSidecarSettings, type SidecarSettings } from '../src/sidecar/sidecar-settings.js';
import type { ObjectStore } from '../src/source/object-store.js';
import type { ApplicationStandIn } from './application-stand-in.js';
import { labOutside } from './labOutside.js';
import { type MemoryStore, StoreView } from './memory-store.js';

/** Milliseconds from the beginning of a planned stop to its end, unless a test says otherwise. */
const DEFAULT_GRACE_MS = 4_000;

/** Milliseconds from a version's acknowledgement until it must be in force, unless a test says otherwise. */
const DEFAULT_APPLY_MS = 1_000;

/** What a test may choose for a machine. */
export interface MachineOptions {
  readonly zone?: string;
  readonly slots?: number;
  readonly graceMs?: number;
  readonly applyMs?: number;
  /** Bounds that the platform holds, see the settings. */
  readonly bounds?: Pick<
    Partial<SidecarSettings>,
    'quota' | 'revocation' | 'rollout' | 'retryBudget'
  >;
  /** The machine's own client of a store, in place of a call to the store in memory. */
  readonly client?: ObjectStore;
  /** Version of its back end. */
  readonly version?: string;
}

/** One machine: node, back end and way to the store. */
export class Machine {
  private running: SidecarNode | undefined;
  view: StoreView;
  private sleptMs = 0;
  private readonly clockSources: ClockSources = {
    ...SYSTEM_CLOCK_SOURCES,
    wallClock: () => SYSTEM_CLOCK_SOURCES.wallClock() + this.sleptMs,
    uptime: () => SYSTEM_CLOCK_SOURCES.uptime() + this.sleptMs,
  };
  readonly lines: Record<string, unknown>[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly application: ApplicationStandIn,
    private readonly store: MemoryStore,
    private readonly options: MachineOptions,
  ) {
    this.view = new StoreView(store);
  }

  /** The node of a machine that has been started. */
  get node(): SidecarNode {
    if (!this.running) {
      throw new Error(`${this.name} has not been started`);
    }
    return this.running;
  }

  async start(): Promise<void> {
    await this.application.start();
    this.application.onBack = () =>
      void this.application.announce(() => this.node.addresses.registrations);
    this.running = this.create(undefined);
    await this.node.start();
  }

  /** Ends the node at once and starts a new one at the same addresses. */
  async restart(): Promise<void> {
    const { addresses } = this.node;
    this.node.close();
    this.view = new StoreView(this.store);
    this.running = this.create(addresses);
    await this.node.start();
  }

  /** The machine is suspended and wakes: its steady clock has not moved, the others have. */
  suspend(ms: number): void {
    this.sleptMs += ms;
  }

  private create(listen: SidecarNode['addresses'] | undefined): SidecarNode {
    const any = '127.0.0.1:0';
    const settings = checkSidecarSettings({
      node: this.name,
      zone: this.zone,
      service: this.application.service,
      backEndAddress: this.application.address,
      listen: listen ?? { clients: any, peers: any, readiness: any, registrations: any },
      isFirstStart: listen === undefined,
      drainMs: 1_000,
      graceMs: this.options.graceMs ?? DEFAULT_GRACE_MS,
      configurationApplyMs: this.options.applyMs ?? DEFAULT_APPLY_MS,
      ...this.options.bounds,
    }).unsafeCoerce();
    const sink = (bytes: Buffer, done: () => void) => {
      for (const line of bytes.toString().trim().split('\n')) {
        this.lines.push(JSON.parse(line) as Record<string, unknown>);
      }
      done();
    };
    const clocks = createNodeClocks(this.clockSources);
    return new SidecarNode(
      settings,
      labOutside(this.options.client ?? this.view),
      clocks,
      new DecisionLog(this.name, () => clocks.clock.now(), sink),
      new SidecarMetrics(),
    );
  }
}
