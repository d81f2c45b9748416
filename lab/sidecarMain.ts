/** One sidecar as a process of its own for experiments. */
import { readFileSync } from 'node:fs';
import { PlatformStore } from '../platform/store-client.js';
import { batchLines, DecisionLog, descriptorSink } from '../src/diagnostics/decision-log.js';
import { SidecarMetrics } from '../src/diagnostics/sidecar-metrics.js';
import { NODE_KIND } from '../src/directory/directory-sync.js';
import type { OwnerRecord } from '../src/directory/owner-entry.js';
import { createNodeClocks } from '../src/model/nodeClocks.js';
import { SidecarNode } from '../src/sidecar/sidecar-node.js';
import { checkSidecarSettings } from '../src/sidecar/sidecar-settings.js';
import type { ObjectStore } from '../src/source/object-store.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME, labOutside } from './labOutside.js';
import { MemoryStore, StoreView } from './memory-store.js';

/** What a store holds from the start; a copy of it is in the process, so that it plays no part. */
export interface StoreContents {
  readonly records: readonly OwnerRecord[];
  readonly configuration: { readonly version: number };
}

/** What the process is told in a file. */
export interface SidecarPlan {
  readonly settings: Readonly<Record<string, unknown>> & { readonly node: string };
  /** `host:port` of a store, or the contents of one. */
  readonly store: string | StoreContents;
}

const STANDARD_OUTPUT = 1;

function storeOf(plan: SidecarPlan['store']): ObjectStore {
  if (typeof plan === 'string') {
    return new PlatformStore(plan);
  }
  const store = new MemoryStore();
  for (const record of plan.records) {
    store.put(NODE_KIND, record.node, record);
  }
  store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, plan.configuration);
  return new StoreView(store);
}

const readPlan = () => JSON.parse(readFileSync(process.argv[2] ?? '', 'utf8')) as SidecarPlan;
const plan = readPlan();
const clocks = createNodeClocks();
const node = new SidecarNode(
  checkSidecarSettings(plan.settings).unsafeCoerce(),
  labOutside(storeOf(plan.store)),
  clocks,
  new DecisionLog(
    plan.settings.node,
    () => clocks.clock.now(),
    descriptorSink(STANDARD_OUTPUT),
    batchLines,
  ),
  new SidecarMetrics(),
);
await node.start();
process.stdout.write(`${JSON.stringify({ event: 'ready' })}\n`);
process.on('SIGTERM', () => void node.stop().finally(() => process.exit(0)));
process.on('SIGHUP', () => node.reload(checkSidecarSettings(readPlan().settings).unsafeCoerce()));
