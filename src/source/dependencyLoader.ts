/**
 * Gets what some configurations need and most do not: the compiler of placement policies, which
 * takes tens of milliseconds and megabytes to load, and the values of secrets.
 */
import type {
  AvailableDependencies,
  MissingDependencies,
  PolicyCompiler,
} from '../routing/configurationDependencies.js';
import { type ObjectStore, ReadConsistency } from './object-store.js';

/** Kind of the objects that hold secrets. */
export const SECRET_KIND = 'spindlepaddle-secrets';

/** What a secret's object holds. */
export interface SecretObject {
  readonly value: string;
}

/** What is needed of the node. */
export interface DependencyLoaderContext {
  readonly store: ObjectStore;
  readonly loadPolicyCompiler: () => Promise<PolicyCompiler>;
}

export interface DependencyLoader {
  /** What has been fetched so far. */
  readonly dependencies: AvailableDependencies;
  /** Fetches what is missing, as far as it is to be had now. */
  load(shortage: MissingDependencies): Promise<void>;
}

export function createDependencyLoader({
  store,
  loadPolicyCompiler,
}: DependencyLoaderContext): DependencyLoader {
  let compilePolicy: PolicyCompiler | undefined;
  let secrets: ReadonlyMap<string, string> = new Map();
  const listSecrets = async (): Promise<void> => {
    const listed = await store.list<Partial<SecretObject>>(SECRET_KIND, ReadConsistency.Strong);
    if (listed.ok) {
      secrets = new Map(
        listed.value.items.flatMap(({ name, spec }) =>
          typeof spec.value === 'string' ? [[name, spec.value] as const] : [],
        ),
      );
    }
  };
  return {
    get dependencies() {
      return { compilePolicy, secrets };
    },
    load: async ({ needsPolicies, secrets: names }) => {
      if (needsPolicies) {
        compilePolicy = await loadPolicyCompiler();
      }
      if (names.length > 0) {
        await listSecrets();
      }
    },
  };
}
