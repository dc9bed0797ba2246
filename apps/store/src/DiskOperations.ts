/**
 * The disk operations of a running store: log writes, snapshots, and reading the parts of snapshots
 * that are sent to other stores. Completed log writes, saved snapshots and all failures are dispatched
 * as consensus events.
 */
import type { Logger, TimerService } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';
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
  /** Called once the disk takes writes again after a failure. */
  onRestored(): void;
}

/** Between two tries to write to a disk that has failed. */
const RESTORE_INTERVAL_MILLISECONDS: Milliseconds = 100;

export class DiskOperations {
  /** Resolves once all operations requested so far have ended. */
  private allOperations: Promise<void> = Promise.resolve();

  private readonly snapshotCache: SnapshotCache;

  private closed = false;

  private hasFailed = false;

  constructor(private readonly options: DiskOperationsOptions) {
    this.snapshotCache = new SnapshotCache(options.timers);
  }

  /** Starts a write without waiting for earlier operations, so that writes can share one sync. */
  persist(effect: PersistEffect): void {
    const { disk, dispatch } = this.options;
    const written = disk.write(effect).then(
      () => dispatch({ type: 'persisted', batch: effect.batch }),
      (error: unknown) => this.reportFailure(error),
    );
    this.allOperations = Promise.all([this.allOperations, written]).then(() => {});
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
      // While this waited, the snapshot may have been loaded for another part or peer.
      const snapshot =
        this.snapshotCache.find(effect.header) ?? (await this.options.disk.readSnapshot());
      if (snapshot === undefined || this.closed) return;
      this.snapshotCache.keep(snapshot);
      this.sendPart(effect, snapshot);
    });
  }

  /** Stops loading snapshots for other stores. */
  stop(): void {
    this.closed = true;
    this.snapshotCache.clear();
  }

  /** Waits for the operations that were requested so far. */
  async finish(): Promise<void> {
    await this.allOperations;
  }

  private enqueue(work: () => Promise<void>): void {
    this.allOperations = this.allOperations
      .then(work)
      .catch((error: unknown) => this.reportFailure(error));
  }

  private reportFailure(error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.write('diskFailed', { reason });
    this.options.dispatch({ type: 'persistFailed', reason });
    if (this.hasFailed) return;
    this.hasFailed = true;
    this.tryToRestore();
  }

  private tryToRestore(): void {
    const { disk, timers, onRestored } = this.options;
    timers.after(RESTORE_INTERVAL_MILLISECONDS, () => {
      if (this.closed) return;
      disk.restoreAfterFailure().then(
        () => {
          if (!this.closed) onRestored();
        },
        () => this.tryToRestore(),
      );
    });
  }

  private sendPart(effect: SendSnapshotEffect, snapshot: SavedSnapshot): void {
    const envelope = fillSnapshotPart(effect, snapshot);
    // Undefined if a newer snapshot has replaced the requested one; the leader then sends the newer one.
    if (envelope !== undefined) this.options.send(effect.instance, envelope);
  }
}
