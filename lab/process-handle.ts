/** One process that the lab has started: its ready line, its events, its end. */
import { type ChildProcess, spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** A JSON line that a process has printed. */
export type NodeEvent = Readonly<Record<string, unknown>> & { readonly event: string };

const START_LIMIT_MS = 20_000;

/** Lines of standard error kept for the report of a failure. */
const KEPT_LOG_LINES = 200;

/** Root of the compiled files, whether this module runs from there or from its source. */
const ROOT = fileURLToPath(
  new URL(import.meta.url.includes('/dist/') ? '../..' : '..', import.meta.url),
);

/** Path of a compiled file of this project. */
export function compiled(file: string): string {
  return `${ROOT}/dist/${file}`;
}

/** Processes that have not ended; whatever ends this process ends them too, also while they start. */
const running = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of running) {
    child.kill('SIGKILL');
  }
});

/** A running process with JSON lines on standard output. */
export class ProcessHandle {
  readonly events: NodeEvent[] = [];
  readonly log: string[] = [];
  private readonly waiters = new Set<() => void>();
  private ended = false;
  readonly exit: Promise<number | null>;

  private constructor(
    readonly name: string,
    readonly child: ChildProcess,
  ) {
    running.add(child);
    readLines(child.stdout, (line) => this.onLine(line));
    readLines(child.stderr, (line) => {
      this.log.push(line);
      if (this.log.length > KEPT_LOG_LINES) {
        this.log.shift();
      }
    });
    this.exit = new Promise((resolve) => {
      child.on('exit', (code) => {
        this.ended = true;
        running.delete(child);
        this.notify();
        resolve(code);
      });
    });
  }

  /** Starts a compiled file and resolves when it has printed its ready line. */
  static async start(
    name: string,
    file: string,
    flags: readonly string[],
    nodeFlags: readonly string[] = [],
  ): Promise<ProcessHandle> {
    const child = spawn(process.execPath, [...nodeFlags, compiled(file), ...flags], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const handle = new ProcessHandle(name, child);
    await handle.waitFor((event) => event.event === 'ready', START_LIMIT_MS);
    return handle;
  }

  /** The ready line. */
  get ready(): NodeEvent {
    return this.events[0] as NodeEvent;
  }

  /** Resolves with the first event that fits, past or to come. */
  async waitFor(fits: (event: NodeEvent) => boolean, limitMs = START_LIMIT_MS): Promise<NodeEvent> {
    const deadline = Date.now() + limitMs;
    while (true) {
      const found = this.events.find(fits);
      if (found) {
        return found;
      }
      const remaining = deadline - Date.now();
      if (this.ended || remaining <= 0) {
        const reason = this.ended ? 'ended' : 'gave no such event in time';
        throw new Error(`${this.name} ${reason}\n${this.log.slice(-20).join('\n')}`);
      }
      await this.nextChange(remaining);
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exit;
  }

  /** Asks for a planned stop and resolves with the exit code. */
  async stop(): Promise<number | null> {
    this.signal('SIGTERM');
    return this.exit;
  }

  private nextChange(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs);
      this.waiters.add(wake);
    });
  }

  private onLine(line: string): void {
    try {
      this.events.push(JSON.parse(line) as NodeEvent);
    } catch {
      this.log.push(line);
    }
    this.notify();
  }

  private notify(): void {
    for (const wake of [...this.waiters]) {
      wake();
    }
  }
}

function readLines(stream: NodeJS.ReadableStream | null, onLine: (line: string) => void): void {
  let pending = '';
  stream?.setEncoding('utf8');
  stream?.on('data', (chunk: string) => {
    const lines = (pending + chunk).split('\n');
    pending = lines.pop() ?? '';
    for (const line of lines) {
      onLine(line);
    }
  });
}
