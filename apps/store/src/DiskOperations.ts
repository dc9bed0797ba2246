/**
 * What a running store has its disk do: writes of the log in the order of their steps, snapshots, and
 * the parts of snapshots that go to other stores. Each end is told as an event; a failure ends the
 * store's part in all that needs a disk.
 */
import type { Logger, TimerService } from '@hornbeampond/runtime';
import {
  fillSnapshotPart,
  type Envelope,
  type PersistEffect,
  type SendSnapshotEffect,
  type SnapshotHeader,
} from '@hornbeampond/store-core';
import { SnapshotCache } from './SnapshotCache.js';
import type { SavedSnapshot, StoreDisk } from './StoreDisk.js';
import type { ConsensusEventPayload } from './StoreProcess.js';

export interface DiskOperationsOptions {
  readonly disk: StoreDisk;
  readonly timers: TimerService;
  readonly logger: Logger;
  dispatch(event: ConsensusEventPayload): void;
  send(instance: string, envelope: Envelope): void;
}

export class DiskOperations {
  private lastOperation: Promise<void> = Promise.resolve();

  private readonly snapshotCache: SnapshotCache;

  private closed = false;

  constructor(private readonly options: DiskOperationsOptions) {
    this.snapshotCache = new SnapshotCache(options.timers);
  }

  /** Writes are handed in at once: those that wait for a sync share the next one. */
  persist(effect: PersistEffect): void {
    const { disk, dispatch } = this.options;
    const written = disk.write(effect).then(
      () => dispatch({ type: 'persisted', batch: effect.batch }),
      (error: unknown) => this.reportFailure(error),
    );
    this.lastOperation = Promise.all([this.lastOperation, written]).then(() => {});
  }

  saveSnapshot(snapshot: SavedSnapshot): void {
    this.enqueue(async () => {
      await this.options.disk.saveSnapshot(snapshot);
      this.options.dispatch({ type: 'compacted', header: snapshot.header });
    });
  }

  discardLog(throughIndex: SnapshotHeader['index']): void {
    this.enqueue(async () => this.options.disk.discardLog(throughIndex));
  }

  sendSnapshot(effect: SendSnapshotEffect): void {
    const cached = this.snapshotCache.find(effect.header);
    if (cached !== undefined) {
      this.sendPart(effect, cached);
      return;
    }
    this.enqueue(async () => {
      // Loaded meanwhile for another part or peer.
      const snapshot =
        this.snapshotCache.find(effect.header) ?? (await this.options.disk.readSnapshot());
      if (snapshot === undefined || this.closed) return;
      this.snapshotCache.keep(snapshot);
      this.sendPart(effect, snapshot);
    });
  }

  /** Starts nothing more for other stores. */
  stop(): void {
    this.closed = true;
    this.snapshotCache.clear();
  }

  /** Resolves once all that was asked for is done. */
  async finish(): Promise<void> {
    await this.lastOperation;
  }

  private enqueue(work: () => Promise<void>): void {
    this.lastOperation = this.lastOperation
      .then(work)
      .catch((error: unknown) => this.reportFailure(error));
  }

  private reportFailure(error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.write('diskFailed', { reason });
    this.options.dispatch({ type: 'persistFailed', reason });
  }

  private sendPart(effect: SendSnapshotEffect, snapshot: SavedSnapshot): void {
    const envelope = fillSnapshotPart(effect, snapshot);
    // Replaced meanwhile: the leader asks again for the newer one.
    if (envelope !== undefined) this.options.send(effect.instance, envelope);
  }
}
