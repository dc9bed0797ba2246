/**
 * A fake engine's prefix cache: blocks of prompts, the least recently used leave first. Its
 * changes become events, some of which can be lost before anybody reads them.
 */
import type { CacheEvent } from '@hornbeampond/schema';

/** Events kept for readers; older ones are lost, which readers see as a gap. */
const MOST_EVENTS = 1000;

export class FakePrefixCache {
  newestSequence = 0;

  /** Every so many events one is lost; 0 means none. */
  loseEvery = 0;

  private readonly blocks = new Set<string>();

  private events: CacheEvent[] = [];

  constructor(
    private readonly instance: string,
    private readonly mostBlocks: number,
  ) {}

  /** Number of leading blocks that are cached, of a prompt with these prefix digests. */
  countCached(prefixDigests: readonly string[]): number {
    const missing = prefixDigests.findIndex((digest) => !this.blocks.has(digest));
    return missing < 0 ? prefixDigests.length : missing;
  }

  /** Stores a prompt's blocks, or marks them as just used. */
  store(prefixDigests: readonly string[]): void {
    const added = prefixDigests.filter((digest) => !this.blocks.has(digest));
    prefixDigests.forEach((digest) => {
      this.blocks.delete(digest);
      this.blocks.add(digest);
    });
    if (added.length > 0) this.note('stored', added);
    const evicted = [...this.blocks].slice(0, Math.max(0, this.blocks.size - this.mostBlocks));
    evicted.forEach((digest) => this.blocks.delete(digest));
    if (evicted.length > 0) this.note('evicted', evicted);
  }

  clear(): void {
    this.blocks.clear();
    this.note('cleared', []);
  }

  readEvents(afterSequence: number): CacheEvent[] {
    return this.events.filter(({ sequence }) => sequence > afterSequence);
  }

  private note(change: CacheEvent['change'], prefixDigests: readonly string[]): void {
    this.newestSequence += 1;
    if (this.loseEvery > 0 && this.newestSequence % this.loseEvery === 0) return;
    const { instance, newestSequence: sequence } = this;
    this.events.push({ instance, sequence, change, prefixDigests });
    if (this.events.length > MOST_EVENTS) this.events.shift();
  }
}
