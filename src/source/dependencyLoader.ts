/**
 * Loads the dependencies that only some configurations have: the compiler of placement policies and
 * the values of secrets. They are loaded on demand because the compiler takes tens of milliseconds
 * and megabytes of memory to load.
 */
import type {
  AvailableDependencies,
  MissingDependencies,
  PolicyCompiler,
} from '../routing/configurationDependencies.js';
import { type ObjectStore, ReadConsistency } from './object-store.js';

/** Kind of the store objects that hold secrets. */
export const SECRET_KIND = 'spindlepaddle-secrets';

/** The spec of a secret's store object. */
export interface SecretObject {
  readonly value: string;
}

/** Dependencies of a {@link DependencyLoader}. */
export interface DependencyLoaderContext {
  readonly store: ObjectStore;
  readonly loadPolicyCompiler: () => Promise<PolicyCompiler>;
}

export interface DependencyLoader {
  /** The policy compiler and the secrets loaded so far. */
  readonly dependencies: AvailableDependencies;
  /** Loads what is missing. Secrets stay as they are if the store does not answer. */
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
