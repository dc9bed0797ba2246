/**
 * Reads the cache events of model engines incrementally: each call returns the events since the
 * previous call for the same engine. Events may be late or missing; the reducer allows for that.
 */
import type { EngineAdapter } from '@hornbeampond/adapters';
import type { CacheEvent } from '@hornbeampond/schema';

export class CacheEventReader {
  /** The sequence number of the newest event read, by instance. */
  private readonly lastSequences = new Map<string, number>();

  /**
   * Reads the events since the last call and sets their `instance` to the platform's name. If the
   * engine has restarted, returns only a `cleared` event.
   */
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
    // Sequence numbers restart with the engine's process, and its cache is then empty.
    this.lastSequences.set(instance, 0);
    const sequence = batch.newestSequence;
    return [{ instance, sequence, change: 'cleared', prefixDigests: [] }];
  }

  /** Removes the state of engines that are not listed. */
  retainOnly(instances: readonly string[]): void {
    const listedInstances = new Set(instances);
    [...this.lastSequences.keys()].forEach((instance) => {
      if (!listedInstances.has(instance)) this.lastSequences.delete(instance);
    });
  }
}
