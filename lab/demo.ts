/** The demonstration: Lektorka's mesh, every kind of traffic, a revised policy, a kill, a stop. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createDemoMesh, type DemoMesh } from './demoMesh.js';

const EXAMPLE = new URL('../../examples/lektorka.yaml', import.meta.url).pathname;

const failures: string[] = [];

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints a step and whether it held. */
function step(description: string, held: boolean, detail = ''): void {
  say(`${held ? 'ok  ' : 'FAIL'}  ${description}${detail ? `: ${detail}` : ''}`);
  if (!held) {
    failures.push(description);
  }
}

/** Runs a command as an operator would, its output indented. */
async function operator(mesh: DemoMesh, ...words: string[]): Promise<void> {
  say(`      $ spindlepaddle ${words.join(' ')}`);
  const code = await mesh.operator(words, (text) => say(text.trimEnd().replace(/^/gm, '        ')));
  step(words.slice(0, 2).join(' '), code === 0);
}

async function sendEachKind(mesh: DemoMesh): Promise<void> {
  for (const { kind, method, path } of mesh.traffic) {
    const answers = await Promise.all(
      mesh.sidecars.map((sidecar) => mesh.send(sidecar, method, path)),
    );
    const slowestMs = Math.max(...answers.map(({ tookMs }) => tookMs));
    const held = answers.every(({ status }) => status === 200);
    step(`${kind} through every zone`, held, `slowest ${slowestMs.toFixed(1)} ms`);
  }
}

/** Licences only from one zone from now on. */
async function revisePolicy(mesh: DemoMesh, folder: string): Promise<void> {
  const file = join(folder, 'revised.yaml');
  const text = readFileSync(EXAMPLE, 'utf8');
  writeFileSync(
    file,
    text.replace('["lozenets", "mladost", "druzhba", "studentski"]', '["studentski"]'),
  );
  await operator(mesh, 'diff', file);
  await operator(mesh, 'apply', file, '--wait');
  await operator(mesh, 'explain', 'lectures.example', '/licences/42', '--method', 'POST');
  const runsIn = () => mesh.sidecars.map(({ application }) => application.runs.length);
  const before = runsIn();
  const answers = await Promise.all(
    mesh.sidecars.map((sidecar) => mesh.send(sidecar, 'POST', '/licences/43')),
  );
  const ran = runsIn().map((count, index) => count - (before[index] ?? 0));
  const isKept = ran.slice(0, -1).every((count) => count === 0);
  step(
    'licences are granted only where the revision allows it',
    isKept && answers.every(({ status }) => status === 200),
    `runs by zone ${ran.join(', ')}`,
  );
}

async function killAndRestart(mesh: DemoMesh): Promise<void> {
  const [first] = mesh.sidecars;
  await first.process.kill();
  await first.restart();
  await mesh.untilReady();
  await operator(mesh, 'wait', '2');
}

const folder = mkdtempSync(join(tmpdir(), 'spindlepaddle-demo-'));
const mesh = await createDemoMesh(folder);
try {
  await operator(mesh, 'apply', EXAMPLE, '--wait');
  await mesh.untilReady();
  await operator(mesh, 'status');
  await sendEachKind(mesh);
  await revisePolicy(mesh, folder);
  await killAndRestart(mesh);
  const codes = await Promise.all(mesh.sidecars.map(({ process }) => process.stop()));
  step(
    'every node stops as planned',
    codes.every((code) => code === 0),
  );
} catch (error) {
  step(error instanceof Error ? error.message : String(error), false);
} finally {
  await mesh.close();
  rmSync(folder, { recursive: true });
}
say(failures.length === 0 ? 'Every step held.' : `Did not hold: ${failures.join('; ')}`);
process.exitCode = failures.length === 0 ? 0 : 1;
