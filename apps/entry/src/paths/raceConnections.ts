/**
 * Opens a connection in several ways that begin one after the other, and keeps the one that is
 * established first. If a way fails, the next one begins at once.
 */
import type { Socket } from 'node:net';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';

export interface ConnectionWay<Name> {
  readonly name: Name;
  /** When it begins, unless all earlier ones have failed before. */
  readonly delay: Milliseconds;
  open(signal: AbortSignal): Promise<Socket>;
}

export interface RaceResult<Name> {
  readonly name: Name;
  readonly socket: Socket;
  /** The other ways that had begun by then; they failed or took longer. */
  readonly beaten: readonly Name[];
}

/** Calls back once the input that is there now has been read; see `RequestIntake`. */
function afterPendingInput(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

class Race<Name> {
  private readonly controller = new AbortController();

  private readonly waiting: ConnectionWay<Name>[];

  private readonly begun: Name[] = [];

  private firstError: unknown;

  private openCount = 0;

  private hasEnded = false;

  private cancelTimer: Unsubscribe = () => {};

  private readonly startedAt: number;

  constructor(
    ways: readonly ConnectionWay<Name>[],
    private readonly timers: TimerService,
    private readonly resolve: (result: RaceResult<Name>) => void,
    private readonly reject: (error: unknown) => void,
  ) {
    this.waiting = [...ways].sort((a, b) => a.delay - b.delay);
    this.startedAt = timers.monotonicNow();
  }

  /** Begins the ways whose delay has passed, and the next one if none is under way. */
  advance(): void {
    if (this.hasEnded) return;
    const elapsed = this.timers.monotonicNow() - this.startedAt;
    for (let [next] = this.waiting; next !== undefined; [next] = this.waiting) {
      if (next.delay > elapsed && this.openCount > 0) break;
      this.waiting.shift();
      this.begin(next);
    }
    this.scheduleNext(elapsed);
  }

  abort(reason: unknown): void {
    if (this.end()) this.reject(reason);
  }

  private scheduleNext(elapsed: Milliseconds): void {
    this.cancelTimer();
    const [next] = this.waiting;
    if (next === undefined) return;
    // A connection that is established already may wait to be read, if this process is behind.
    this.cancelTimer = this.timers.after(next.delay - elapsed, () =>
      afterPendingInput(() => this.advance()),
    );
  }

  private begin({ name, open }: ConnectionWay<Name>): void {
    this.openCount += 1;
    this.begun.push(name);
    open(this.controller.signal).then(
      (socket) => this.finish(name, socket),
      (error: unknown) => this.recordFailure(error),
    );
  }

  private finish(name: Name, socket: Socket): void {
    const beaten = this.begun.filter((other) => other !== name);
    if (this.end()) this.resolve({ name, socket, beaten });
    else socket.destroy();
  }

  private recordFailure(error: unknown): void {
    this.openCount -= 1;
    this.firstError ??= error;
    if (this.openCount === 0 && this.waiting.length === 0) this.abort(this.firstError);
    else this.advance();
  }

  private end(): boolean {
    if (this.hasEnded) return false;
    this.hasEnded = true;
    this.cancelTimer();
    this.controller.abort(new Error('another connection is used'));
    return true;
  }
}

/** Rejects with the first error if all ways fail. */
export async function raceConnections<Name>(
  ways: readonly ConnectionWay<Name>[],
  timers: TimerService,
  signal?: AbortSignal,
): Promise<RaceResult<Name>> {
  return new Promise((resolve, reject) => {
    const race = new Race(ways, timers, resolve, reject);
    const abort = () => race.abort(signal?.reason);
    if (signal?.aborted === true) abort();
    else signal?.addEventListener('abort', abort, { once: true });
    race.advance();
  });
}
