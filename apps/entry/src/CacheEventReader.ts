/**
 * Reads the cache events of model engines, each engine's from where the last reading ended. The
 * events are late and have gaps; what they are worth is for the reducer to judge.
 */
import type { EngineAdapter } from '@hornbeampond/adapters';
import type { CacheEvent } from '@hornbeampond/schema';

export class CacheEventReader {
  /** By instance, the newest sequence that was given out. */
  private readonly lastSequences = new Map<string, number>();

  /** The events since the last reading, named after the instance as the platform knows it. */
  async read(
    instance: string,
    engine: EngineAdapter,
    signal: AbortSignal,
  ): Promise<readonly CacheEvent[]> {
    const lastSequence = this.lastSequences.get(instance) ?? 0;
    const batch = await engine.readCacheEvents(lastSequence, signal);
    this.lastSequences.set(instance, batch.newestSequence);
    const events = batch.events.map((event) => ({ ...event, instance }));
    if (batch.newestSequence >= lastSequence) return events;
    // Sequences begin anew with an engine's process, whose cache is then empty.
    this.lastSequences.set(instance, 0);
    const sequence = batch.newestSequence;
    return [{ instance, sequence, change: 'cleared', prefixDigests: [] }];
  }

  /** Forgets engines that are no longer listed. */
  retainOnly(instances: readonly string[]): void {
    const listed = new Set(instances);
    [...this.lastSequences.keys()].forEach((instance) => {
      if (!listed.has(instance)) this.lastSequences.delete(instance);
    });
  }
}
