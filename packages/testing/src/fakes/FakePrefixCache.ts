/**
 * The prefix cache of a fake engine, an LRU cache of prompt blocks. Its changes are published as
 * numbered events, with a configurable delay and configurable losses.
 */
import type { TimerService } from '@hornbeampond/runtime';
import type { CacheEvent, EpochMilliseconds, Milliseconds } from '@hornbeampond/schema';

/** Events kept for readers; readers see older ones as a missing range of sequence numbers. */
const MAX_EVENTS = 1000;

interface RecordedEvent {
  readonly recordedAt: EpochMilliseconds;
  readonly event: CacheEvent;
  readonly lost: boolean;
}

export class FakePrefixCache {
  /** Events whose sequence is a multiple of this are lost; 0 loses none. */
  eventLossInterval = 0;

  /** Time from a change to the publication of its event. */
  eventLag: Milliseconds = 0;

  private sequence = 0;

  private readonly blocks = new Set<string>();

  private events: RecordedEvent[] = [];

  constructor(
    private readonly instance: string,
    private readonly maxBlocks: number,
    private readonly timers: TimerService,
  ) {}

  /** Number of leading cached blocks of a prompt with these prefix digests. */
  countCached(prefixDigests: readonly string[]): number {
    const missing = prefixDigests.findIndex((digest) => !this.blocks.has(digest));
    return missing < 0 ? prefixDigests.length : missing;
  }

  /** Stores the blocks of a prompt, or marks them as most recently used. */
  store(prefixDigests: readonly string[]): void {
    const added = prefixDigests.filter((digest) => !this.blocks.has(digest));
    prefixDigests.forEach((digest) => {
      this.blocks.delete(digest);
      this.blocks.add(digest);
    });
    if (added.length > 0) this.recordEvent('stored', added);
    const evicted = [...this.blocks].slice(0, Math.max(0, this.blocks.size - this.maxBlocks));
    evicted.forEach((digest) => this.blocks.delete(digest));
    if (evicted.length > 0) this.recordEvent('evicted', evicted);
  }

  clear(): void {
    this.blocks.clear();
    this.recordEvent('cleared', []);
  }

  /** Published events after a sequence, and the newest published sequence, lost events included. */
  readEvents(afterSequence: number): { events: CacheEvent[]; newestSequence: number } {
    const publishedUntil = this.timers.wallNow() - this.eventLag;
    const published = this.events.filter(({ recordedAt: at }) => at <= publishedUntil);
    const events = published
      .filter(({ event, lost }) => !lost && event.sequence > afterSequence)
      .map(({ event }) => event);
    return { events, newestSequence: published.at(-1)?.event.sequence ?? 0 };
  }

  private recordEvent(change: CacheEvent['change'], prefixDigests: readonly string[]): void {
    this.sequence += 1;
    const { instance, sequence } = this;
    const lost = this.eventLossInterval > 0 && sequence % this.eventLossInterval === 0;
    const event = { instance, sequence, change, prefixDigests };
    this.events.push({ recordedAt: this.timers.wallNow(), event, lost });
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }
}
