/**
 * A simulation of an engine with continuous batching, in virtual time. A bounded number of
 * requests runs and the rest wait in order of arrival. Prefill is sequential, decoding slows down
 * as the batch fills, and the prefix cache evicts the least recently stored prefixes.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { VirtualTimeline } from './VirtualTimeline.js';

export interface EngineSpeed {
  readonly concurrency: number;
  readonly prefillMillisecondsPerToken: Milliseconds;
  /** Time per output token of an idle engine; three times as long with a full batch. */
  readonly decodeMillisecondsPerToken: Milliseconds;
  /** Maximum number of prefixes in the cache. */
  readonly cachedPrefixes: number;
}

export interface EngineJob {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly prefixDigests: readonly string[];
  /** Called when prefill ends. */
  onFirstToken(): void;
  onFinished(): void;
}

const FULL_BATCH_ADDED_SLOWDOWN = 2;

export class EngineModel {
  running = 0;

  /** Uncached prompt tokens that this or another engine has computed before. */
  recomputedTokens = 0;

  /** Prefixes stored since the caller last replaced this list. */
  newlyStored: string[] = [];

  private readonly queue: EngineJob[] = [];

  private readonly cache = new Set<string>();

  private prefillFreeAt: MonotonicMilliseconds = 0;

  constructor(
    readonly instance: string,
    private readonly timeline: VirtualTimeline,
    public speed: EngineSpeed,
    /** Prefixes that any engine has computed; shared by all engines of a simulation. */
    private readonly everComputed: Set<string>,
  ) {}

  get queued(): number {
    return this.queue.length;
  }

  submit(job: EngineJob): void {
    if (this.running < this.speed.concurrency) this.start(job);
    else this.queue.push(job);
  }

  clearCache(): void {
    this.cache.clear();
  }

  private start(job: EngineJob): void {
    this.running += 1;
    const cachedFraction = this.getCachedFraction(job);
    const uncachedTokens = job.promptTokens * (1 - cachedFraction);
    this.recomputedTokens += this.countRecomputed(job, cachedFraction);
    const { timeline, speed } = this;
    const startedAt = Math.max(timeline.now, this.prefillFreeAt);
    this.prefillFreeAt = startedAt + uncachedTokens * speed.prefillMillisecondsPerToken;
    const slowdown = 1 + (FULL_BATCH_ADDED_SLOWDOWN * this.running) / speed.concurrency;
    const decodeMilliseconds = job.answerTokens * speed.decodeMillisecondsPerToken * slowdown;
    timeline.after(this.prefillFreeAt - timeline.now, () => {
      this.store(job.prefixDigests);
      job.onFirstToken();
      timeline.after(decodeMilliseconds, () => this.finish(job));
    });
  }

  private finish(job: EngineJob): void {
    this.running -= 1;
    job.onFinished();
    const next = this.queue.shift();
    if (next !== undefined) this.start(next);
  }

  private getCachedFraction({ prefixDigests }: EngineJob): number {
    let { length } = prefixDigests;
    while (length > 0 && !this.cache.has(prefixDigests[length - 1] ?? '')) length -= 1;
    return length === 0 ? 0 : length / prefixDigests.length;
  }

  private countRecomputed(
    { prefixDigests, promptTokens }: EngineJob,
    cachedFraction: number,
  ): number {
    let computedLength = prefixDigests.length;
    while (computedLength > 0 && !this.everComputed.has(prefixDigests[computedLength - 1] ?? ''))
      computedLength -= 1;
    if (computedLength === 0) return 0;
    return Math.max(0, computedLength / prefixDigests.length - cachedFraction) * promptTokens;
  }

  private store(digests: readonly string[]): void {
    for (const digest of digests) {
      this.everComputed.add(digest);
      this.cache.delete(digest);
      this.cache.add(digest);
      this.newlyStored.push(digest);
    }
    for (const digest of this.cache) {
      if (this.cache.size <= this.speed.cachedPrefixes) return;
      this.cache.delete(digest);
    }
  }
}
