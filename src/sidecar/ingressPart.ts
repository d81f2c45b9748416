/** Creates the ingress of a node, with the state that only its requests share. */
import { createCrossZoneBudget } from '../directory/crossZoneBudget.js';
import { IngressServer } from '../ingress/ingress-server.js';
import type { IngressOptions } from '../ingress/ingressOptions.js';
import { createOfferLimit } from '../ingress/offerLimit.js';
import { createReadAhead } from '../ingress/readAhead.js';
import { createRetryAfterPacer } from '../ingress/retryAfterPacer.js';
import { SharedRetryBudget } from '../ingress/shared-retry-budget.js';
import type { ConfigurationFollower } from '../source/configuration-follower.js';
import type { SidecarPartsContext } from './sidecarPartsContext.js';

/** Dependencies on the node. */
export interface IngressPartContext
  extends Pick<SidecarPartsContext, 'settings' | 'platform' | 'clocks'>,
    Pick<
      IngressOptions,
      | 'timers'
      | 'directory'
      | 'callRoutes'
      | 'callRates'
      | 'crashTracker'
      | 'versionSelector'
      | 'ownRecord'
      | 'quotaGate'
      | 'onFinished'
    > {
  readonly configuration: ConfigurationFollower;
  /** Number of nodes that share the retry budget; infinite while it is unknown. */
  readonly nodes: () => number;
}

export function createIngressPart(context: IngressPartContext): IngressServer {
  const { settings, platform, clocks, configuration, nodes, ...shared } = context;
  return new IngressServer({
    ...shared,
    clock: clocks.clock,
    names: platform.names,
    retryBudget: new SharedRetryBudget({
      bound: () => settings().retryBudget,
      nodes,
      restartedAt: settings().isFirstStart ? undefined : clocks.clock.now(),
    }),
    crossZoneBudget: createCrossZoneBudget(),
    retryAfterPacer: createRetryAfterPacer(),
    offerLimit: createOfferLimit(),
    readAhead: createReadAhead(),
    routes: () => configuration.routes,
    mayBeBehind: () => configuration.mayBeStale,
    isTooStale: () => {
      const { revocation } = settings();
      return revocation?.isStrict === true && configuration.maxStalenessMs > revocation.withinMs;
    },
    callerService: () => settings().service,
  });
}
