/**
 * The slots of a fake engine's batch. Requests that find no free slot wait in order of priority
 * (lowest number first), then of arrival.
 */

/** Releases a slot; further calls have no effect. */
export type ReleaseSlot = () => void;

interface WaitingRequest {
  readonly priority: number;
  readonly start: () => void;
}

export class FakeBatch {
  running = 0;

  private queue: WaitingRequest[] = [];

  constructor(
    private readonly concurrency: number,
    private readonly maxQueued: number,
    private readonly onChange: () => void,
  ) {}

  get queued(): number {
    return this.queue.length;
  }

  get full(): boolean {
    return this.running >= this.concurrency && this.queued >= this.maxQueued;
  }

  /** Resolves with the release function of a slot, or undefined if `signal` aborts first. */
  async acquireSlot(priority: number, signal: AbortSignal): Promise<ReleaseSlot | undefined> {
    if (signal.aborted) return undefined;
    if (this.running >= this.concurrency) {
      const acquired = await this.waitForSlot(priority, signal);
      return acquired ? this.makeRelease() : undefined;
    }
    this.running += 1;
    this.onChange();
    return this.makeRelease();
  }

  /** Resolves true once a slot is assigned, false if `signal` aborts first. */
  private async waitForSlot(priority: number, signal: AbortSignal): Promise<boolean> {
    return new Promise<boolean>((resolve) => {
      const waiting = { priority, start: () => resolve(true) };
      this.enqueue(waiting);
      signal.addEventListener('abort', () => {
        this.queue = this.queue.filter((other) => other !== waiting);
        this.onChange();
        resolve(false);
      });
    });
  }

  private enqueue(waiting: WaitingRequest): void {
    const position = this.queue.findIndex(({ priority }) => priority > waiting.priority);
    this.queue.splice(position < 0 ? this.queue.length : position, 0, waiting);
    this.onChange();
  }

  private makeRelease(): ReleaseSlot {
    let released = false;
    return () => {
      if (released) return;
      released = true;
      const next = this.queue.shift();
      // The slot goes directly to the next request, so a new arrival cannot take it first.
      if (next === undefined) this.running -= 1;
      else next.start();
      this.onChange();
    };
  }
}
