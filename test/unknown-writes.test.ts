/**
 * What operators are told of a write whose first result is unknown: the store may have done it, so
 * nothing that it says of a later attempt shows that nothing was written. See
 * docs/incidents/writes-reported-as-not-done.md.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from '../lab/labOutside.js';
import { MemoryStore, StoreView } from '../lab/memory-store.js';
import { ExitCode } from '../src/cli/exitCode.js';
import { SECRET_KIND } from '../src/source/dependencyLoader.js';
import type { StoredObject, StoreFailure, StoreResult } from '../src/source/object-store.js';
import { runCommand } from './operatorCommand.js';

/** What becomes of one write: the store does it or not, and the answer is lost or is a failure. */
interface Fate {
  readonly isDone: boolean;
  readonly failure: StoreFailure;
}

const DONE_AND_LOST: Fate = { isDone: true, failure: 'unknown' };

/** A way to the store on which the first writes have the given fates. */
class FatefulView extends StoreView {
  constructor(
    store: MemoryStore,
    private readonly fates: Fate[],
  ) {
    super(store);
  }

  override create<Spec>(kind: string, name: string, spec: Spec) {
    return this.withFate(() => super.create(kind, name, spec));
  }

  override replace<Spec>(kind: string, object: StoredObject<Spec>) {
    return this.withFate(() => super.replace(kind, object));
  }

  private async withFate<Value>(
    call: () => Promise<StoreResult<Value>>,
  ): Promise<StoreResult<Value>> {
    const fate = this.fates.shift();
    if (fate === undefined || fate.isDone) {
      const result = await call();
      return fate && result.ok ? failedAs(fate.failure) : result;
    }
    return failedAs(fate.failure);
  }
}

const failedAs = (failure: StoreFailure) => ({ ok: false, failure, detail: 'a test' }) as const;

let store: MemoryStore;
let folder: string;

beforeEach(() => {
  store = new MemoryStore();
  folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-writes-'));
});

afterEach(() => rmSync(folder, { recursive: true }));

function writeFile(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

const CONFIGURATION = `
routes:
  - { name: read, host: mesh.example, pathPrefix: /read/, kind: safe, split: [{ service: desk, weight: 1 }] }
services: [{ name: desk }]
`;

const apply = (...fates: Fate[]) =>
  runCommand(
    store,
    ['apply', writeFile('mesh.yaml', CONFIGURATION)],
    new FatefulView(store, fates),
  );

const refusal = (failure: StoreFailure): Fate => ({ isDone: false, failure });

describe('apply', () => {
  // Guards against "Nothing was written" for a version that the store holds.
  it.each(['unavailable', 'throttled'] as const)(
    'goes on until it knows, after a lost answer and then %s',
    async (failure) => {
      const { code, results } = await apply(DONE_AND_LOST, refusal(failure));
      expect(code).toBe(ExitCode.Ok);
      expect(results).toEqual([{ kind: 'accepted', version: 1 }]);
    },
  );

  it.each(['unavailable', 'throttled', 'rejected'] as const)(
    'says that the result is unknown after a lost answer and then nothing but %s',
    async (failure) => {
      const { code, results } = await apply(DONE_AND_LOST, ...Array(10).fill(refusal(failure)));
      expect(code).toBe(ExitCode.Unknown);
      expect(results).toMatchObject([{ kind: 'unknown' }]);
    },
  );

  it('does not say that nothing was written if another writer came after a lost answer', async () => {
    const view = new FatefulView(store, [DONE_AND_LOST]);
    const applying = runCommand(store, ['apply', writeFile('mesh.yaml', CONFIGURATION)], view);
    await vi.waitFor(() => expect(store.kind(CONFIGURATION_KIND).size).toBe(1));
    store.put(CONFIGURATION_KIND, CONFIGURATION_NAME, { version: 7, routes: [], services: [] });
    const { code, results } = await applying;
    expect(code).toBe(ExitCode.Unknown);
    expect(results).toEqual([{ kind: 'unknown', failure: 'conflict' }]);
  });

  it('says that nothing was written if the first attempt is refused', async () => {
    const { code } = await apply(refusal('unavailable'));
    expect(code).toBe(ExitCode.Unavailable);
    expect(store.kind(CONFIGURATION_KIND).size).toBe(0);
  });
});

describe('secret', () => {
  it('says that the result is unknown after a lost answer', async () => {
    const view = new FatefulView(store, [DONE_AND_LOST]);
    const file = writeFile('secret', 'value');
    const { code } = await runCommand(store, ['secret', 'token', file], view);
    expect(store.kind(SECRET_KIND).size).toBe(1);
    expect(code).toBe(ExitCode.Unknown);
  });
});
