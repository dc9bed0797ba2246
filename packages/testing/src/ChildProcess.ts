/** One process of the system, started from its binary, as tests and measurements handle it. */
import { spawn, type ChildProcess as NodeChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

export interface LogLine {
  readonly event: string;
  readonly [field: string]: unknown;
}

interface Waiting {
  readonly event: string;
  resolve(line: LogLine): void;
}

export interface ChildProcessOptions {
  readonly name: string;
  /** JavaScript file of the program, and its arguments. */
  readonly command: readonly string[];
  /** Added to the environment of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** File that the process's log lines are added to. */
  readonly logFile: string;
}

const START_MILLISECONDS = 20_000;

/** A measurement that fails or runs out of time must not leave its processes to others. */
const running = new Set<NodeChildProcess>();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

export class ChildProcess {
  /** Log lines that have come so far. */
  readonly lines: LogLine[] = [];

  /** Lines of standard output that have come so far. */
  readonly output: string[] = [];

  private readonly child: NodeChildProcess;

  private readonly exited: Promise<number | null>;

  private waiting: Waiting[] = [];

  constructor(readonly options: ChildProcessOptions) {
    const { command, environment = {}, logFile, name } = options;
    this.child = spawn(process.execPath, ['--enable-source-maps', ...command], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(this.child);
    this.child.once('exit', () => running.delete(this.child));
    this.exited = once(this.child, 'exit').then(([code]) => code as number | null);
    const { stdout, stderr } = this.child;
    if (stdout === null || stderr === null) throw new Error(`${name} has no output`);
    createInterface({ input: stdout }).on('line', (line) => this.output.push(line));
    // Logs are on standard output, what ends a process on standard error.
    [stdout, stderr].forEach((input) => {
      createInterface({ input }).on('line', (line) => {
        appendFileSync(logFile, `${line}\n`);
        this.take(line);
      });
    });
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Resolves with the exit code once the process has ended. */
  get ended(): Promise<number | null> {
    return this.exited;
  }

  /** Resolves with the first log line of this event, past or to come. */
  async waitForEvent(event: string, patience = START_MILLISECONDS): Promise<LogLine> {
    const known = this.lines.find((line) => line.event === event);
    if (known !== undefined) return known;
    return new Promise((resolve, reject) => {
      const fail = (reason: string) =>
        reject(new Error(`${this.options.name}: ${reason}; waited for ${event}`));
      const timer = setTimeout(() => fail('no such event in time'), patience);
      void this.exited.then((code) => fail(`ended with ${code}`));
      this.waiting.push({
        event,
        resolve: (line) => {
          clearTimeout(timer);
          resolve(line);
        },
      });
    });
  }

  /** Ends it without a chance to say goodbye. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Tells it that its settings have changed; one that has just ended is not told. */
  reload(): void {
    this.child.kill('SIGHUP');
  }

  /** Asks for a graceful shutdown and resolves with the exit code. */
  async terminate(): Promise<number | null> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Stops it where it is, as a partition silently isolates an instance; `thaw` lets it go on. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  thaw(): void {
    this.child.kill('SIGCONT');
  }

  private take(line: string): void {
    let parsed: LogLine;
    try {
      parsed = JSON.parse(line) as LogLine;
    } catch {
      parsed = { event: 'text', text: line };
    }
    this.lines.push(parsed);
    const met = this.waiting.filter(({ event }) => event === parsed.event);
    this.waiting = this.waiting.filter((waiting) => !met.includes(waiting));
    met.forEach((waiting) => waiting.resolve(parsed));
  }
}
